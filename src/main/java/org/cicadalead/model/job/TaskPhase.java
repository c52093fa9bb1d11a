package org.cicadalead.model.job;

/** Phase of a task, as the platform reports it. */
public enum TaskPhase {
    /** It runs under its lease. */
    RUNNING(false),
    /** Its lease has lapsed: it may run or not. */
    UNREACHABLE(false),
    /** It came to its end. */
    FINISHED(true),
    /** It failed. */
    FAILED(true),
    /** It was stopped before its end. */
    STOPPED(true);

    private final boolean ended;

    TaskPhase(boolean ended) {
        this.ended = ended;
    }

    /** Tells whether the task is certain to have ended. */
    public boolean isEnded() {
        return ended;
    }
}
