package org.cicadalead.model.work;

/** Phase of a job. */
public enum WorkPhase {
    /** No task has started. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** All tasks have finished. */
    COMPLETED,
    /** A task has used up its attempts. */
    FAILED,
    /** The caller has cancelled it. */
    CANCELED;

    /** Returns whether the job has ended, so that none of its tasks may start any more. */
    public boolean isTerminal() {
        return this == COMPLETED || this == FAILED || this == CANCELED;
    }
}
