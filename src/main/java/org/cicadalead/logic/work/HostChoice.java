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
 * Chooses hosts for the tasks of one service during one round. Short tasks go where they leave the least room, so that
 * wide tasks find a host; tasks that last are spread, so that one host takes few of a step away. For use by one thread.
 */
final class HostChoice {
    /** Outweighs every difference of room, which is at most 1. */
    private static final double AWAY_FROM_DATA_PENALTY = 10;

    /** Tasks of a lasting step on one host beyond which its loss hurts more than a further host costs. */
    private static final int MAX_TASKS_OF_STEP_PER_HOST = 2;

    /** Outweighs a difference of a whole host's processors, and an empty host. */
    private static final double CROWDED_PENALTY = 4;

    /** Outweighs a difference of a whole host's processors. */
    private static final double EMPTY_HOST_PENALTY = 1.5;

    private final Map<WorkHost, HostCapacity> freeCapacities = new HashMap<>();

    HostChoice(Collection<WorkHost> hosts, long now) {
        for (WorkHost host : hosts) {
            if (host.canAcceptWork(now)) {
                freeCapacities.put(host, host.freeCapacity());
            }
        }
    }

    boolean isEmpty() {
        return freeCapacities.isEmpty();
    }

    Collection<WorkHost> hosts() {
        return freeCapacities.keySet();
    }

    /** Finds a host for a task among the given ones, first without those where it failed. */
    @Nullable WorkHost findHost(WorkTask task, Collection<WorkHost> among) {
        WorkHost preferred = findBest(task, among, false);
        return preferred == null && !task.avoidedHosts.isEmpty() ? findBest(task, among, true) : preferred;
    }

    private @Nullable WorkHost findBest(WorkTask task, Collection<WorkHost> among, boolean alsoAvoided) {
        WorkHost best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        for (WorkHost host : among) {
            if (!alsoAvoided && task.avoidedHosts.contains(host.identifier)) {
                continue;
            }
            if (!canRun(task.step, host)) {
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

    private boolean canRun(WorkStep step, WorkHost host) {
        StepSpecification specification = step.specification;
        HostCapacity room = freeCapacities.get(host);
        return room != null
                && specification.requiredCapacity().fitsInto(room)
                && specification
                        .requiredLabel()
                        .map(host.entry.labels()::contains)
                        .orElse(true)
                && (specification.maximumPerHost() == 0 || step.countTasksOn(host) < specification.maximumPerHost());
    }

    private double score(WorkStep step, WorkHost host) {
        StepSpecification specification = step.specification;
        double awayFromData = specification.preferredRack().isPresent()
                        && !specification.preferredRack().equals(host.entry.rack())
                ? AWAY_FROM_DATA_PENALTY
                : 0;
        double cpuLeft = (double) freeCapacities.get(host).milliCores()
                / Math.max(1, host.entry.capacity().milliCores());
        if (specification.longRunning()) {
            return awayFromData + longRunningScore(step, host) - cpuLeft;
        }
        return awayFromData + cpuLeft;
    }

    /** Puts lasting tasks on few hosts, so that the others can change their pool, but few of a step on one host. */
    private static double longRunningScore(WorkStep step, WorkHost host) {
        if (step.countTasksOn(host) >= MAX_TASKS_OF_STEP_PER_HOST) {
            return CROWDED_PENALTY;
        }
        return countLongRunningTasks(host) > 0 ? 0 : EMPTY_HOST_PENALTY;
    }

    private static int countLongRunningTasks(WorkHost host) {
        int count = 0;
        for (WorkRun run : host.runs.values()) {
            count += run.task.step.specification.longRunning() ? 1 : 0;
        }
        return count;
    }

    /** Takes room for a task. */
    void reserve(WorkHost host, StepSpecification specification) {
        freeCapacities.computeIfPresent(host, (same, room) -> room.minus(specification.requiredCapacity()));
    }

    /** Gives back room that was taken for a task that was not started. */
    void release(WorkHost host, StepSpecification specification) {
        freeCapacities.computeIfPresent(host, (same, room) -> room.plus(specification.requiredCapacity()));
    }

    /** Returns the hosts of each rack. */
    Collection<List<WorkHost>> groupByRack() {
        Map<String, List<WorkHost>> racks = new HashMap<>();
        for (WorkHost host : freeCapacities.keySet()) {
            racks.computeIfAbsent(host.entry.rack().orElse(""), unseen -> new ArrayList<>())
                    .add(host);
        }
        return racks.values();
    }
}
