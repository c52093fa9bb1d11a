package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.List;

/**
 * Pauses tasks that use only spare capacity while a serving task on the same host nears its tail latency target, and
 * speeds them up again in steps. The interference differs by image and changes within seconds. Not thread-safe.
 */
final class SpareCapacityPacing {
    /** Tail latency, as a share of its target, above which spare-capacity tasks on the host are paused (a ratio). */
    private static final double HIGH_SHARE = 0.85;

    /** Tail latency, as a share of its target, below which spare-capacity tasks on the host may speed up (a ratio). */
    private static final double LOW_SHARE = 0.6;

    private static final int STEP_PERCENT = 25;

    /** Time that the platform takes to apply a speed, plus half a second until the sample shows its effect. */
    private static final long SETTLE_MILLISECONDS = 700;

    private SpareCapacityPacing() {}

    static List<WorkOrder> pace(WorkHost host, long now) {
        if (!host.hasSpareCapacityRun()) {
            return List.of();
        }
        double highestTailShare = -1;
        for (WorkRun run : host.runs.values()) {
            if (run.task.step.specification.hasTailTarget() && run.state == WorkRun.State.RUNNING) {
                highestTailShare = Math.max(
                        highestTailShare, (double) run.sample / run.task.step.specification.tailTargetMilliseconds());
            }
        }
        List<WorkOrder> orders = new ArrayList<>();
        if (highestTailShare < 0) {
            highestTailShare = 0;
        }
        for (WorkRun run : host.runs.values()) {
            if (run.task.step.specification.usesSpareCapacity() && run.state == WorkRun.State.RUNNING) {
                int percentage = targetPercentage(run, highestTailShare, now);
                if (percentage != run.pacedPercentage) {
                    run.pacedPercentage = percentage;
                    run.pacedAt = now;
                    orders.add(new WorkOrder.Pace(WorkState.targetOf(host), run.key, percentage));
                }
            }
        }
        return orders;
    }

    private static int targetPercentage(WorkRun run, double highestTailShare, long now) {
        if (highestTailShare > HIGH_SHARE) {
            return 0;
        }
        boolean hasTakenEffect = now - run.pacedAt > SETTLE_MILLISECONDS;
        return highestTailShare < LOW_SHARE && hasTakenEffect
                ? Math.min(WorkRun.FULL_SPEED_PERCENT, run.pacedPercentage + STEP_PERCENT)
                : run.pacedPercentage;
    }
}
