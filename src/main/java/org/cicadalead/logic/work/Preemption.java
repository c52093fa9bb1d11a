package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.cicadalead.model.work.HostCapacity;

/**
 * Makes room for a lasting task that finds no host, by stopping short tasks: those that are late anyway first, then
 * those that have run the least. Answers a pool that a turn of demand has filled while a lasting task has to move.
 * Stateless; safe for use by several threads.
 */
final class Preemption {
    /** What late work is worth, as a share of work in time: what the platform credits it with (a ratio). */
    private static final double LATE_WORK_WEIGHT = 0.07;

    private Preemption() {}

    /** Stops what is in the way on the host where the least is lost; the room is free once the stops are confirmed. */
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
        HostCapacity needed = task.step.specification.requiredCapacity();
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
            free = free.plus(run.task.step.specification.requiredCapacity());
        }
        return needed.fitsInto(free) ? victims : List.of();
    }

    /** Returns the work that is lost, in core-milliseconds; work that is late anyway counts for less. */
    private static double lostWork(WorkRun run, WorkTime now) {
        double done = (now.monotonic() - run.orderedAt) * (double) run.task.step.specification.milliCores();
        return WorkOrdering.canMeetObjective(run.task.step.job, now.wall()) ? done : done * LATE_WORK_WEIGHT;
    }
}
