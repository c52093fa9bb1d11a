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
 * Samples what the workers really do: which can take work, which are idle, which were rebooted while a request ran.
 * Pools are taken from the platform's log, all else from the workers themselves. Sampled by one thread; read after it
 * has ended.
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

    /** Ends the sampling after the present sample. */
    void stop() {
        running = false;
    }

    /** Returns how often a service had fewer working hosts than its budget promises. */
    int budgetViolations() {
        return budgetViolations;
    }

    /** Returns how many requests ran on a host when its planned reboot began. */
    int cutOffByReboot() {
        return cutOffRequests;
    }

    /** Returns how many hosts changed pool. */
    int moves() {
        return moves;
    }

    /** Returns the capacity that stood idle, in host-hours. */
    double idleHostHours() {
        return idleHostSeconds / SECONDS_PER_HOUR;
    }

    @Override
    public void run() {
        long before = System.nanoTime();
        while (running) {
            long now = System.nanoTime();
            sample(Duration.ofNanos(now - before).toNanos()
                    / (double) Duration.ofSeconds(1).toNanos());
            before = now;
            try {
                Thread.sleep(SAMPLE_INTERVAL.toMillis());
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void sample(double elapsedSeconds) {
        SharedState agreed = fleet.entries().stream()
                .map(EntryProcess::state)
                .max(Comparator.comparingLong(SharedState::offset))
                .orElseThrow();
        Map<PoolName, Integer> working = new HashMap<>();
        for (HostState host : agreed.hosts().values()) {
            countPoolChange(host);
            countCutOffRequests(host.name());
            if (isWorking(host)) {
                working.merge(host.pool(), 1, Integer::sum);
            }
            if (fleet.isRunning(host.name()) && worker(host.name()).running() == 0) {
                idleHostSeconds += elapsedSeconds;
            }
        }
        agreed.configuration().merged().services().values().forEach(service -> checkBudget(service, working));
    }

    /** A host that its own pool does not use, while it drains or moves, is no capacity of the pool. */
    private boolean isWorking(HostState host) {
        return fleet.isRunning(host.name())
                && host.move().isEmpty()
                && host.maintenance().isAvailable();
    }

    private void countPoolChange(HostState host) {
        PoolName before = lastPools.put(host.name(), host.pool());
        if (before != null && !before.equals(host.pool())) {
            moves++;
        }
    }

    private void countCutOffRequests(HostName host) {
        if (!fleet.platform().reboots().isAway(host)) {
            rebootingHosts.remove(host);
        } else if (rebootingHosts.add(host)) {
            cutOffRequests += worker(host).running();
        }
    }

    private void checkBudget(ServiceDefinition service, Map<PoolName, Integer> working) {
        boolean holds =
                working.getOrDefault(service.pool(), 0) >= service.budget().minimumAvailable();
        if (holds) {
            violatedServices.remove(service.name());
        } else if (violatedServices.add(service.name())) {
            budgetViolations++;
        }
    }

    private UpstreamStandIn worker(HostName host) {
        return fleet.workers().get(host);
    }
}
