package org.cicadalead.model.fleet;

/** Progress of a maintenance wave with one host. */
public enum WaveHostProgress {
    /** Not granted yet. */
    WAITING(false),
    /** Granted: draining, rebooting, held or being verified. */
    UNDER_WAY(false),
    /** Returned to its pool. */
    DONE(true),
    /** Did not return to its pool, as the reboot or the check has failed. */
    FAILED(true),
    /** Left the fleet, or the wave was aborted before the host was maintained. */
    DROPPED(true);

    private final boolean terminal;

    WaveHostProgress(boolean terminal) {
        this.terminal = terminal;
    }

    /** Tells whether the wave is finished with the host. */
    public boolean isTerminal() {
        return terminal;
    }
}
