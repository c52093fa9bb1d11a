package org.cicadalead.model.state;

/** Phase of a long job. */
public enum JobPhase {
    /** Accepted and waiting for a host. */
    WAITING(false),
    /** Placed on a host under a lease. */
    PLACED(false),
    /** Finished once, with a result. */
    FINISHED(true),
    /** Gave up for a reason that the job names. */
    FAILED(true),
    /** Cancelled by its owner. */
    CANCELLED(true);

    private final boolean terminal;

    JobPhase(boolean terminal) {
        this.terminal = terminal;
    }

    /** Tells whether the phase never changes again. */
    public boolean isTerminal() {
        return terminal;
    }
}
