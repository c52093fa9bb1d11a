package org.cicadalead.logic.work;

import org.cicadalead.model.work.StepSpecification;

/**
 * Detects runs that are long overdue, so that their tasks can be restarted elsewhere, as a host may become slow or its
 * tasks may hang. Estimates are rough and a task away from its data is slower, so the limit is generous. A task that is
 * in fact long is not interrupted after a few restarts. Stateless and thread-safe.
 */
final class SlowRuns {
    /** Estimates deviate by a fifth and tasks of a step differ by a third; 2.5 exceeds both (a ratio). */
    private static final double OVERDUE_FACTOR = 2.5;

    /** Allowance for the order, the start and the report of the end. */
    private static final long OVERHEAD_MILLISECONDS = 700;

    private static final int MAX_SLOW_RESTARTS = 2;

    static final long NEVER = Long.MAX_VALUE;

    private SlowRuns() {}

    /** Returns the monotonic time after which a run is overdue; {@link #NEVER} for one that is not restarted. */
    static long overdueAfter(WorkRun run, SchedulingTerms terms) {
        StepSpecification step = run.task.step.specification;
        if (step.longRunning() || step.gang()) {
            return NEVER;
        }
        if (run.task.slowRestarts >= MAX_SLOW_RESTARTS || step.estimatedMilliseconds() <= 0) {
            return NEVER;
        }
        boolean remote =
                step.preferredRack().isPresent() && !step.preferredRack().equals(run.host.entry.rack());
        double expected = step.estimatedMilliseconds() * (remote || step.sameRack() ? terms.remoteFactor() : 1);
        double allowed = OVERDUE_FACTOR * (1 << run.task.slowRestarts) * expected + OVERHEAD_MILLISECONDS;
        return run.orderedAt + (long) Math.floor(allowed);
    }
}
