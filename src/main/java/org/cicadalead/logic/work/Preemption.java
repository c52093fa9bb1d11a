package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.cicadalead.model.work.HostCapacity;

/**
 * Frees capacity for a long-running task that finds no host, by stopping short tasks: late ones first, then those that
 * have done the least work. Needed when a demand peak has filled a pool while a long-running task has to move.
 * Stateless and thread-safe.
 */
final class Preemption {
    /** Weight of late work relative to work in time, as the platform credits it (a ratio). */
    private static final double LATE_WORK_WEIGHT = 0.07;

    private Preemption() {}

    /**
     * Stops short tasks on the host where the least work is lost. The capacity is free once the stops are confirmed.
     */
    static void stopShortTasksFor(WorkTask task, Collection<WorkHost> hosts, WorkTime now) {
        List<WorkRun> cheapest = List.of();
        double lowestLoss = Double.POSITIVE_INFINITY;
        for (WorkHost host : hosts) {
            if (!host.canAcceptWork(now.monotonic()) || hasStoppingRuns(host)) {
                continue;
            }
            List<WorkRun> victims = selectVictims(task, host, now);
            double loss =
                    victims.stream().mapToDouble(run -> lostWork(run, now)).sum();
            if (!victims.isEmpty() && loss < lowestLoss) {
                cheapest = victims;
                lowestLoss = loss;
            }
        }
        cheapest.forEach(run -> run.transitionTo(WorkRun.State.STOPPING, now.monotonic()));
    }

    private static boolean hasStoppingRuns(WorkHost host) {
        for (WorkRun run : host.runs.values()) {
            if (run.state == WorkRun.State.STOPPING || run.state == WorkRun.State.STOPPED) {
                return true;
            }
        }
        return false;
    }

    private static List<WorkRun> selectVictims(WorkTask task, WorkHost host, WorkTime now) {
        HostCapacity needed = task.step.requiredCapacity;
        HostCapacity free = host.freeCapacity();
        List<WorkRun> candidates = new ArrayList<>();
        for (WorkRun run : host.runs.values()) {
            if (run.state == WorkRun.State.RUNNING && !run.task.step.specification.longRunning()) {
                candidates.add(run);
            }
        }
        candidates.sort(Comparator.comparingDouble(run -> lostWork(run, now)));
        List<WorkRun> victims = new ArrayList<>();
        for (WorkRun run : candidates) {
            if (needed.fitsInto(free)) {
                break;
            }
            victims.add(run);
            free = free.plus(run.task.step.requiredCapacity);
        }
        return needed.fitsInto(free) ? victims : List.of();
    }

    /** Returns the work lost by stopping a run, in thousandths of a core-millisecond; late work has a lower weight. */
    private static double lostWork(WorkRun run, WorkTime now) {
        double completedWork = (now.monotonic() - run.orderedAt) * (double) run.task.step.specification.milliCores();
        return WorkOrdering.canMeetObjective(run.task.step.job, now.wall())
                ? completedWork
                : completedWork * LATE_WORK_WEIGHT;
    }
}
