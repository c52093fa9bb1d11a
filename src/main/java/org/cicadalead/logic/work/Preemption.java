package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.cicadalead.model.work.HostCapacity;
import org.jspecify.annotations.Nullable;

/**
 * Frees capacity for a long-running task that finds no host, by stopping short tasks: late ones first, then those that
 * have done the least work. Needed when a demand peak has filled a pool while a long-running task has to move.
 * Stateless and thread-safe.
 */
final class Preemption {
    /** Weight of late work relative to work in time, as the platform credits it (a ratio). */
    private static final double LATE_WORK_WEIGHT = 0.07;

    /** Time for which a run that is being stopped counts as capacity that becomes free; after it others are stopped. */
    private static final long MAX_STOP_MILLISECONDS = 2_500;

    private Preemption() {}

    /**
     * Stops short tasks on the host where the least work is lost, if those that are already being stopped do not
     * suffice. The capacity is free once the stops are confirmed, and has to be kept for the task until then.
     *
     * @return the host with the capacity; null when no host can have enough
     */
    static @Nullable WorkHost makeRoomFor(WorkTask task, HostChoice choice, Collection<WorkHost> hosts, WorkTime now) {
        WorkHost cheapestHost = null;
        List<WorkRun> cheapest = List.of();
        double lowestLoss = Double.POSITIVE_INFINITY;
        for (WorkHost host : hosts) {
            if (host.health.isLimited() || !HostChoice.permits(task.step, host)) {
                continue;
            }
            HostCapacity free = choice.freeCapacityOf(host).plus(stoppingCapacity(host, now.monotonic()));
            List<WorkRun> victims = selectVictims(task, host, free, now);
            double loss =
                    victims.stream().mapToDouble(run -> lostWork(run, now)).sum();
            boolean suffices = !victims.isEmpty() || task.step.requiredCapacity.fitsInto(free);
            if (suffices && (loss < lowestLoss || (loss == lowestLoss && precedes(host, cheapestHost)))) {
                cheapestHost = host;
                cheapest = victims;
                lowestLoss = loss;
            }
        }
        cheapest.forEach(run -> run.transitionTo(WorkRun.State.STOPPING, now.monotonic()));
        return cheapestHost;
    }

    private static boolean precedes(WorkHost host, @Nullable WorkHost other) {
        return other != null && host.identifier.compareTo(other.identifier) < 0;
    }

    private static HostCapacity stoppingCapacity(WorkHost host, long now) {
        HostCapacity capacity = HostCapacity.NONE;
        for (WorkRun run : host.runs.values()) {
            boolean isStopping = run.state == WorkRun.State.STOPPING || run.state == WorkRun.State.STOPPED;
            if (isStopping && now - run.changedAt < MAX_STOP_MILLISECONDS) {
                capacity = capacity.plus(run.task.step.requiredCapacity);
            }
        }
        return capacity;
    }

    /** Returns the runs to stop in addition to the given free capacity; none when that suffices or all do not. */
    private static List<WorkRun> selectVictims(WorkTask task, WorkHost host, HostCapacity available, WorkTime now) {
        HostCapacity needed = task.step.requiredCapacity;
        HostCapacity free = available;
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
