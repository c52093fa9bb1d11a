package org.cicadalead.model.job;

/** Phases of a long job. */
public enum JobPhase {
    /** Accepted and waiting for a host; no task of a non-idempotent job exists. */
    WAITING(false, false),
    /** Placed on a host; its task may have been started. */
    PLACED(false, true),
    /** The platform has reported that its task runs. */
    RUNNING(false, true),
    /** A stop of its task was requested; until the platform confirms the stop, the task may still run. */
    STOPPING(false, true),
    /** Finished with a result. */
    FINISHED(true, false),
    /** Failed permanently, for a reason that the job's outcome states. */
    FAILED(true, false),
    /** Cancelled by its owner; none of its tasks runs. */
    CANCELLED(true, false);

    private final boolean terminal;
    private final boolean onHost;

    JobPhase(boolean terminal, boolean onHost) {
        this.terminal = terminal;
        this.onHost = onHost;
    }

    /** Returns whether the phase is final. */
    public boolean isTerminal() {
        return terminal;
    }

    /** Returns whether a task of the job's epoch may exist on its host. */
    public boolean isOnHost() {
        return onHost;
    }
}
