package org.cicadalead.logic.work;

import org.cicadalead.model.work.StepSpecification;

/**
 * Finds runs that should have ended long ago, so that their tasks can start elsewhere. Answers hosts that turn slow or
 * on which tasks stand still. Estimates are rough and a task away from its data is slower, so the bound is wide; a task
 * that is really long is left alone after a few restarts. Stateless; safe for use by several threads.
 */
final class SlowRuns {
    /** Estimates are off by a fifth and tasks of a step differ by a third: 2.5 times is beyond both (a ratio). */
    private static final double OVERDUE_FACTOR = 2.5;

    /** Time for the order, the start and the report of the end. */
    private static final long OVERHEAD_MILLISECONDS = 700;

    private static final int MAX_SLOW_RESTARTS = 2;

    private SlowRuns() {}

    static boolean isOverdue(WorkRun run, SchedulingTerms terms, long now) {
        StepSpecification step = run.task.step.specification;
        if (run.state != WorkRun.State.RUNNING || step.longRunning() || step.gang()) {
            return false;
        }
        if (run.task.slowRestarts >= MAX_SLOW_RESTARTS || step.estimatedMilliseconds() <= 0) {
            return false;
        }
        boolean remote =
                step.preferredRack().isPresent() && !step.preferredRack().equals(run.host.entry.rack());
        double expected = step.estimatedMilliseconds() * (remote || step.sameRack() ? terms.remoteFactor() : 1);
        return now - run.orderedAt > OVERDUE_FACTOR * (1 << run.task.slowRestarts) * expected + OVERHEAD_MILLISECONDS;
    }
}
