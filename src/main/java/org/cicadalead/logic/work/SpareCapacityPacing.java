package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.List;

/**
 * Slows down tasks that only use spare capacity where a serving task beside them nears its tail latency target, and
 * speeds them up again in steps. Answers disturbance that differs by image and changes within seconds. For use by one
 * thread.
 */
final class SpareCapacityPacing {
    /** Tail, as a share of its target, above which the tasks beside it are held. */
    private static final double HIGH_SHARE = 0.85;

    /** Tail, as a share of its target, below which the tasks beside it may go faster. */
    private static final double LOW_SHARE = 0.6;

    private static final int STEP_PERCENT = 25;

    /** Time that the platform takes to apply a speed, and half a second for the sample to show it. */
    private static final long SETTLE_MILLISECONDS = 700;

    private SpareCapacityPacing() {}

    static List<WorkOrder> pace(WorkHost host, long now) {
        double highest = -1;
        for (WorkRun run : host.runs.values()) {
            if (run.task.step.specification.hasTailTarget() && run.state == WorkRun.State.RUNNING) {
                highest = Math.max(highest, (double) run.sample / run.task.step.specification.tailTargetMilliseconds());
            }
        }
        List<WorkOrder> orders = new ArrayList<>();
        if (highest < 0) {
            highest = 0;
        }
        for (WorkRun run : host.runs.values()) {
            if (run.task.step.specification.usesSpareCapacity() && run.state == WorkRun.State.RUNNING) {
                int wanted = targetPercentage(run, highest, now);
                if (wanted != run.pacedPercentage) {
                    run.pacedPercentage = wanted;
                    run.pacedAt = now;
                    orders.add(new WorkOrder.Pace(WorkState.targetOf(host), run.key, wanted));
                }
            }
        }
        return orders;
    }

    private static int targetPercentage(WorkRun run, double highest, long now) {
        if (highest > HIGH_SHARE) {
            return 0;
        }
        boolean settled = now - run.pacedAt > SETTLE_MILLISECONDS;
        return highest < LOW_SHARE && settled
                ? Math.min(WorkRun.FULL_SPEED_PERCENT, run.pacedPercentage + STEP_PERCENT)
                : run.pacedPercentage;
    }
}
