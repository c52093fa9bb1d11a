package org.cicadalead.model.fleet;

/** How far a maintenance wave has come with one host. */
public enum WaveHostProgress {
    /** Not granted yet. */
    WAITING(false),
    /** Granted: draining, rebooting, held or being verified. */
    UNDER_WAY(false),
    /** Returned to its pool. */
    DONE(true),
    /** Did not come back as it should. */
    FAILED(true),
    /** Left the fleet, or the wave was aborted before its turn. */
    DROPPED(true);

    private final boolean terminal;

    WaveHostProgress(boolean terminal) {
        this.terminal = terminal;
    }

    /** Tells whether the wave is over for the host. */
    public boolean isTerminal() {
        return terminal;
    }
}
