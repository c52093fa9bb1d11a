package org.cicadalead.model.job;

/** Phase of a long job. */
public enum JobPhase {
    /** Accepted and waiting for a host; no task of a non-idempotent job exists. */
    WAITING(false, false),
    /** Given to a host; its task may have been started. */
    PLACED(false, true),
    /** The platform reported that its task runs. */
    RUNNING(false, true),
    /** Its task was asked to stop; until the platform confirms it, the task may still run. */
    STOPPING(false, true),
    /** Finished once, with a result. */
    FINISHED(true, false),
    /** Gave up for a reason that the job names. */
    FAILED(true, false),
    /** Cancelled by its owner; no task of it runs. */
    CANCELLED(true, false);

    private final boolean terminal;
    private final boolean onHost;

    JobPhase(boolean terminal, boolean onHost) {
        this.terminal = terminal;
        this.onHost = onHost;
    }

    /** Tells whether the phase never changes again. */
    public boolean isTerminal() {
        return terminal;
    }

    /** Tells whether a task of the job's epoch may exist on its host. */
    public boolean isOnHost() {
        return onHost;
    }
}
