package org.cicadalead.model.job;

/** Phases of a task, as the platform reports them. */
public enum TaskPhase {
    /** The task runs under a valid lease. */
    RUNNING(false),
    /** The lease of the task has expired; the task may still run. */
    UNREACHABLE(false),
    /** The task finished. */
    FINISHED(true),
    /** The task failed. */
    FAILED(true),
    /** The task was stopped before it finished. */
    STOPPED(true);

    private final boolean ended;

    TaskPhase(boolean ended) {
        this.ended = ended;
    }

    /** Returns whether the task is known to have ended. */
    public boolean isEnded() {
        return ended;
    }
}
