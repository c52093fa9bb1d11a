package org.cicadalead.adapters.quickstart;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cicadalead.adapters.entry.EntryProcess;
import org.cicadalead.adapters.standin.UpstreamStandIn;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.state.SharedState;

/**
 * Samples the actual state of the workers: which can run requests, which are idle, and which were rebooted while a
 * request ran. The pool of a host is read from the shared state, everything else from the workers themselves. One
 * thread samples; the results may be read after that thread has ended.
 */
final class FleetMonitor implements Runnable {
    private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(10);
    private static final double SECONDS_PER_HOUR = 3_600;

    private final QuickstartFleet fleet;
    private final Map<HostName, PoolName> lastPools = new HashMap<>();
    private final Set<ServiceName> violatedServices = new HashSet<>();
    private final Set<HostName> rebootingHosts = new HashSet<>();
    private volatile boolean running = true;
    private int budgetViolations;
    private int cutOffRequests;
    private int moves;
    private double idleHostSeconds;

    FleetMonitor(QuickstartFleet fleet) {
        this.fleet = fleet;
    }

    /** Stops sampling after the current sample. */
    void close() {
        running = false;
    }

    /** Returns how many times a service fell below the minimum of available hosts in its budget. */
    int budgetViolations() {
        return budgetViolations;
    }

    /** Returns how many requests were running on a host when its planned reboot started. */
    int cutOffByReboot() {
        return cutOffRequests;
    }

    /** Returns how many times a host changed its pool. */
    int moves() {
        return moves;
    }

    /** Returns the idle capacity in host-hours. */
    double idleHostHours() {
        return idleHostSeconds / SECONDS_PER_HOUR;
    }

    @Override
    public void run() {
        long previous = System.nanoTime();
        while (running) {
            long now = System.nanoTime();
            sample(Duration.ofNanos(now - previous).toNanos()
                    / (double) Duration.ofSeconds(1).toNanos());
            previous = now;
            try {
                Thread.sleep(SAMPLE_INTERVAL.toMillis());
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void sample(double elapsedSeconds) {
        SharedState newestState = fleet.entries().stream()
                .map(EntryProcess::state)
                .max(Comparator.comparingLong(SharedState::offset))
                .orElseThrow();
        Map<PoolName, Integer> workingHosts = new HashMap<>();
        for (HostState host : newestState.hosts().values()) {
            countPoolChange(host);
            countCutOffRequests(host.name());
            if (isWorking(host)) {
                workingHosts.merge(host.pool(), 1, Integer::sum);
            }
            if (fleet.isRunning(host.name()) && worker(host.name()).runningRequests() == 0) {
                idleHostSeconds += elapsedSeconds;
            }
        }
        newestState.configuration().merged().services().values().forEach(service -> checkBudget(service, workingHosts));
    }

    /** A host that drains or moves is not used by its pool and does not count towards the pool's capacity. */
    private boolean isWorking(HostState host) {
        return fleet.isRunning(host.name())
                && host.move().isEmpty()
                && host.maintenance().isAvailable();
    }

    private void countPoolChange(HostState host) {
        PoolName previous = lastPools.put(host.name(), host.pool());
        if (previous != null && !previous.equals(host.pool())) {
            moves++;
        }
    }

    private void countCutOffRequests(HostName host) {
        if (!fleet.platform().reboots().isUnavailable(host)) {
            rebootingHosts.remove(host);
        } else if (rebootingHosts.add(host)) {
            cutOffRequests += worker(host).runningRequests();
        }
    }

    private void checkBudget(ServiceDefinition service, Map<PoolName, Integer> workingHosts) {
        boolean isBudgetMet =
                workingHosts.getOrDefault(service.pool(), 0) >= service.budget().minimumAvailable();
        if (isBudgetMet) {
            violatedServices.remove(service.name());
        } else if (violatedServices.add(service.name())) {
            budgetViolations++;
        }
    }

    private UpstreamStandIn worker(HostName host) {
        return fleet.workers().get(host);
    }
}
