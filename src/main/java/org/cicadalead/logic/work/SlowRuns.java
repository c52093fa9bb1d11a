package org.cicadalead.logic.work;

import org.cicadalead.model.work.StepSpecification;

/**
 * Detects runs that are long overdue, so that their tasks can be restarted elsewhere, as a host may become slow or its
 * tasks may hang. Answers a load whose estimates are off by several times: a run is compared with the tasks of its own
 * step that have ended, and before there is one, with what the tasks of its queue take with such an estimate. A task
 * that is in fact long is not interrupted after a few restarts. Stateless and thread-safe.
 */
final class SlowRuns {
    /** Tasks of a step differ by a third; 2.5 exceeds the ratio of the longest to the shortest of a few (a ratio). */
    private static final double OVERDUE_FACTOR = 2.5;

    /** Standard deviations that one task in a hundred exceeds. */
    private static final double RARE_DEVIATIONS = 2.33;

    /** Allowance for the order, the start and the report of the end. */
    private static final long OVERHEAD_MILLISECONDS = 700;

    private static final int MAX_SLOW_RESTARTS = 2;

    static final long NEVER = Long.MAX_VALUE;

    private SlowRuns() {}

    /** Returns the monotonic time after which a run is overdue; {@link #NEVER} for one that is not restarted. */
    static long overdueAfter(WorkRun run, SchedulingTerms terms) {
        WorkStep step = run.task.step;
        long estimate = step.specification.estimatedMilliseconds();
        if (step.specification.longRunning() || step.specification.gang()) {
            return NEVER;
        }
        if (run.task.slowRestarts >= MAX_SLOW_RESTARTS || estimate <= 0) {
            return NEVER;
        }
        double longest = OVERDUE_FACTOR * step.expectedMilliseconds();
        if (!step.hasMeasuredTasks()) {
            longest = Math.max(longest, step.job.durations.highMilliseconds(estimate, RARE_DEVIATIONS));
        }
        double allowed = longest * (1 << run.task.slowRestarts) * slowdown(run, terms) + OVERHEAD_MILLISECONDS;
        return run.orderedAt + (long) Math.floor(allowed);
    }

    /** Returns by which factor a run may take longer than on a host near its data (a ratio). */
    static double slowdown(WorkRun run, SchedulingTerms terms) {
        StepSpecification step = run.task.step.specification;
        boolean remote =
                step.preferredRack().isPresent() && !step.preferredRack().equals(run.host.entry.rack());
        return remote || step.sameRack() ? terms.remoteFactor() : 1;
    }
}
