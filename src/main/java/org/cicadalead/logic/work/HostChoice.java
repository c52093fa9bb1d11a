package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cicadalead.model.work.HostCapacity;
import org.cicadalead.model.work.StepSpecification;
import org.jspecify.annotations.Nullable;

/**
 * Chooses hosts for the tasks of one service during one cycle. Short tasks go where they leave the least free capacity,
 * so that large tasks find a host; the long-running tasks of a step are spread, so that few of them are lost with one
 * host. Not thread-safe.
 */
final class HostChoice {
    /** Outweighs every difference in free capacity, which is at most 1. */
    private static final double AWAY_FROM_DATA_PENALTY = 10;

    /** Maximum number of tasks of a long-running step on one host; the loss of more costs more than a further host. */
    private static final int MAX_TASKS_OF_STEP_PER_HOST = 2;

    /** Outweighs a difference of a whole host's processors, and an empty host. */
    private static final double CROWDED_PENALTY = 4;

    /** Outweighs a difference of a whole host's processors. */
    private static final double EMPTY_HOST_PENALTY = 1.5;

    private final List<WorkHost> hosts = new ArrayList<>();

    private final List<WorkHost> lastResorts = new ArrayList<>();

    /** Free capacities of the hosts for which a task was reserved in this cycle. */
    private final Map<WorkHost, HostCapacity> reservedFreeCapacities = new HashMap<>();

    /** Number of short tasks that were reserved in this cycle for hosts that may have few. */
    private final Map<WorkHost, Integer> reservedTrials = new HashMap<>();

    private final long now;

    /** Free capacities at the start of the cycle, without those that another one exceeds in every dimension. */
    private final List<HostCapacity> largestFreeCapacities = new ArrayList<>();

    /** Requirements for which no host was found since capacity was last released. */
    private final List<HostCapacity> unplaceable = new ArrayList<>();

    private long evaluatedHosts;

    /** Creates the choice among hosts; those with an isolated start get no other one. */
    HostChoice(Collection<WorkHost> hosts, long now) {
        this.now = now;
        for (WorkHost host : hosts) {
            if (host.isolatedStart != null) {
                continue;
            }
            boolean acceptsWork = host.canAcceptWork(now);
            if (acceptsWork) {
                this.hosts.add(host);
                addIfLargest(host.freeCapacity());
            }
            if ((!acceptsWork || host.health.isLimited()) && host.canAcceptWorkAsLastResort(now)) {
                lastResorts.add(host);
            }
        }
    }

    private void addIfLargest(HostCapacity free) {
        for (HostCapacity other : largestFreeCapacities) {
            if (free.isAtMost(other)) {
                return;
            }
        }
        largestFreeCapacities.removeIf(other -> other.isAtMost(free));
        largestFreeCapacities.add(free);
    }

    /**
     * Returns whether a host may have room for a task that requires the given capacity. Independent of the number of
     * hosts for most requirements, so that a long queue of a full pool costs little.
     */
    boolean mayHaveRoom(HostCapacity required) {
        for (HostCapacity smaller : unplaceable) {
            if (smaller.fitsInto(required)) {
                return false;
            }
        }
        for (HostCapacity free : largestFreeCapacities) {
            if (required.fitsInto(free)) {
                return true;
            }
        }
        return false;
    }

    /** Returns how many times a host was compared with the requirements of a task. */
    long evaluatedHosts() {
        return evaluatedHosts;
    }

    boolean isEmpty() {
        return hosts.isEmpty() && lastResorts.isEmpty();
    }

    Collection<WorkHost> hosts() {
        return hosts;
    }

    /** Returns the hosts for long-running tasks that find no host otherwise. */
    Collection<WorkHost> lastResorts() {
        return lastResorts;
    }

    /** Returns the capacity that neither a run takes nor a task was reserved for in this cycle. */
    HostCapacity freeCapacityOf(WorkHost host) {
        HostCapacity afterReservations = reservedFreeCapacities.get(host);
        return afterReservations == null ? host.freeCapacity() : afterReservations;
    }

    /**
     * Finds a host for a task among the given ones, and uses a host where it has failed only when there is no other.
     */
    @Nullable WorkHost findHost(WorkTask task, Collection<WorkHost> candidates) {
        if (!mayHaveRoom(task.step.requiredCapacity)) {
            return null;
        }
        WorkHost best = findBest(task, candidates, false, false);
        if (best == null && !task.avoidedHosts.isEmpty()) {
            best = findBest(task, candidates, true, false);
        }
        boolean mayUseAnyHost = candidates.size() == hosts.size() && !task.step.specification.restrictsHosts();
        if (best == null && mayUseAnyHost) {
            unplaceable.add(task.step.requiredCapacity);
        }
        return best;
    }

    /** Finds a host among the given last resorts for a long-running task that finds no host otherwise. */
    @Nullable WorkHost findLastResort(WorkTask task, Collection<WorkHost> candidates) {
        return findBest(task, candidates, true, true);
    }

    private @Nullable WorkHost findBest(
            WorkTask task, Collection<WorkHost> candidates, boolean allowsAvoided, boolean asLastResort) {
        WorkHost best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        for (WorkHost host : candidates) {
            if (!allowsAvoided && task.avoidedHosts.contains(host.identifier)) {
                continue;
            }
            evaluatedHosts++;
            if (!canRun(task.step, host) || (host.health.isLimited() && !admitsToLimited(task, host, asLastResort))) {
                continue;
            }
            double score = score(task.step, host);
            if (score < bestScore || (score == bestScore && best != null && precedes(host, best))) {
                best = host;
                bestScore = score;
            }
        }
        return best;
    }

    private static boolean precedes(WorkHost host, WorkHost other) {
        return host.identifier.compareTo(other.identifier) < 0;
    }

    /**
     * Returns whether a host that is held back may get a task: few short ones that have not failed yet, and lasting
     * ones as a last resort.
     */
    private boolean admitsToLimited(WorkTask task, WorkHost host, boolean asLastResort) {
        return task.step.specification.longRunning()
                ? asLastResort
                : task.failedAttempts.isEmpty()
                        && host.health.admits(host.countShortRuns() + reservedTrials.getOrDefault(host, 0), now);
    }

    private boolean canRun(WorkStep step, WorkHost host) {
        return step.requiredCapacity.fitsInto(freeCapacityOf(host)) && permits(step, host);
    }

    /** Returns whether the requirements of a step, apart from capacity, permit a host. */
    static boolean permits(WorkStep step, WorkHost host) {
        StepSpecification specification = step.specification;
        return specification.requiredLabel().map(host.entry.labels()::contains).orElse(true)
                && (specification.maximumPerHost() == 0 || step.countTasksOn(host) < specification.maximumPerHost());
    }

    private double score(WorkStep step, WorkHost host) {
        StepSpecification specification = step.specification;
        double dataPenalty = specification.preferredRack().isPresent()
                        && !specification.preferredRack().equals(host.entry.rack())
                ? AWAY_FROM_DATA_PENALTY
                : 0;
        double freeCpuShare = (double) freeCapacityOf(host).milliCores()
                / Math.max(1, host.entry.capacity().milliCores());
        if (specification.longRunning()) {
            return dataPenalty + longRunningScore(step, host) - freeCpuShare;
        }
        return dataPenalty + freeCpuShare;
    }

    /**
     * Prefers few hosts for long-running tasks, so that the others can change their pool, but few of a step on one
     * host.
     */
    private static double longRunningScore(WorkStep step, WorkHost host) {
        if (step.countTasksOn(host) >= MAX_TASKS_OF_STEP_PER_HOST) {
            return CROWDED_PENALTY;
        }
        return host.hasLongRunningRun() ? 0 : EMPTY_HOST_PENALTY;
    }

    /** Reserves capacity for a task, before its run is added to the host. */
    void reserve(WorkHost host, StepSpecification specification) {
        reservedFreeCapacities.put(host, freeCapacityOf(host).minus(specification.requiredCapacity()));
        if (host.health.isLimited()) {
            reservedTrials.merge(host, specification.longRunning() ? 0 : 1, Integer::sum);
        }
    }

    /** Releases the capacity that was reserved for a task that was not started. */
    void release(WorkHost host, StepSpecification specification) {
        reservedFreeCapacities.put(host, freeCapacityOf(host).plus(specification.requiredCapacity()));
        if (host.health.isLimited()) {
            reservedTrials.merge(host, specification.longRunning() ? 0 : -1, Integer::sum);
        }
        unplaceable.clear();
    }

    /** Groups the hosts by their racks. */
    Collection<List<WorkHost>> groupByRack() {
        Map<String, List<WorkHost>> racks = new HashMap<>();
        for (WorkHost host : hosts) {
            racks.computeIfAbsent(host.entry.rack().orElse(""), key -> new ArrayList<>())
                    .add(host);
        }
        return racks.values();
    }
}
