package org.cicadalead.model.work;

/** How far a job is. */
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

    /** Tells whether nothing of the job may start any more. */
    public boolean isTerminal() {
        return this == COMPLETED || this == FAILED || this == CANCELED;
    }
}
