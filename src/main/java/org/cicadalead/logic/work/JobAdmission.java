package org.cicadalead.logic.work;

import org.cicadalead.model.work.StepSpecification;
import org.cicadalead.model.work.WorkSubmission;

/**
 * Decides whether a job is accepted, by the memory that a process takes at most while it leads and has the job and all
 * others that are open. All limits are in bytes of that memory. The weight of a job is computed from what it declares,
 * without an object for any of its tasks. Stateless; safe for use by several threads.
 */
public final class JobAdmission {
    /** Memory for all jobs that are open, in bytes; the heap of the run line has 160 MiB. */
    public static final long BUDGET_BYTES = 64L << 20;

    /** Maximum weight of one job in bytes. */
    public static final long MAX_JOB_BYTES = 8L << 20;

    /** Maximum number of tasks of one step. */
    public static final int MAX_TASKS_PER_STEP = 10_000;

    /** Memory of a task that has begun or waits to begin together with others, in bytes. */
    static final long TASK_BYTES = 415;

    /** Memory of a step of one occurrence without its tasks, in bytes. */
    private static final long STEP_BYTES = 600;

    /** Memory of a job that has ended, without its steps, in bytes. */
    static final long ENDED_JOB_BYTES = 700;

    /** Memory of a step of a job that has ended, in bytes. */
    static final long ENDED_STEP_BYTES = 400;

    /** Memory of a number in the dependencies of a step, in bytes. */
    private static final long DEPENDENCY_BYTES = 24;

    /** Memory of a job without its steps, in bytes. */
    private static final long JOB_BYTES = 1_500;

    private static final long CHARACTER_BYTES = 2;

    private JobAdmission() {}

    /** Returns the memory of a job in bytes while all its tasks of all occurrences have begun. */
    public static long weigh(WorkSubmission submission) {
        double steps = 0;
        for (StepSpecification step : submission.steps()) {
            steps += weighStep(step) + (double) step.taskCount() * TASK_BYTES;
        }
        return weigh(submission, steps);
    }

    /**
     * Returns the memory of a job in bytes from which on it cannot be kept, whatever hosts there are: that of the tasks
     * that begin together, and none for the others.
     */
    static long weighKept(WorkSubmission submission) {
        double steps = 0;
        for (StepSpecification step : submission.steps()) {
            boolean beginTogether = step.longRunning() || step.gang();
            steps += weighStep(step) + (beginTogether ? (double) step.taskCount() * TASK_BYTES : 0);
        }
        return weigh(submission, steps);
    }

    private static double weighStep(StepSpecification step) {
        return STEP_BYTES + (double) step.dependsOn().size() * DEPENDENCY_BYTES;
    }

    /** Sums up in floating point, as the product of declared numbers may exceed the range of integers. */
    private static long weigh(WorkSubmission submission, double stepsOfOccurrence) {
        double payload = (double) submission.payload().length() * CHARACTER_BYTES;
        return (long) (JOB_BYTES + payload + stepsOfOccurrence * submission.occurrences());
    }

    /** Returns whether a job may be accepted at all. */
    public static boolean canEverFit(WorkSubmission submission) {
        return weigh(submission) <= MAX_JOB_BYTES
                && submission.steps().stream().allMatch(step -> step.taskCount() <= MAX_TASKS_PER_STEP);
    }

    /** Returns whether a job that is in the store can be kept; an earlier version may have accepted one that cannot. */
    static boolean canKeep(WorkSubmission submission) {
        return weighKept(submission) <= MAX_JOB_BYTES;
    }
}
