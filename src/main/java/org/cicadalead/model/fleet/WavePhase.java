package org.cicadalead.model.fleet;

/** Phase of a maintenance wave. */
public enum WavePhase {
    /** Hosts are granted as budgets allow. */
    RUNNING(true, false),
    /** An operator has paused the wave: hosts in maintenance finish, and no further host is granted. */
    PAUSED(false, false),
    /** More hosts have failed than the wave tolerates: no further host is granted until an operator resumes it. */
    STOPPED(false, false),
    /** The wave was aborted: hosts in maintenance finish, and the others stay as they are. */
    ABORTED(false, true),
    /** Every host is done, failed or dropped. */
    FINISHED(false, true);

    private final boolean granting;
    private final boolean terminal;

    WavePhase(boolean granting, boolean terminal) {
        this.granting = granting;
        this.terminal = terminal;
    }

    /** Tells whether further hosts may be granted. */
    public boolean canGrant() {
        return granting;
    }

    /** Tells whether the phase never changes again. */
    public boolean isTerminal() {
        return terminal;
    }
}
