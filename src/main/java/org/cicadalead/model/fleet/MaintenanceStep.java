package org.cicadalead.model.fleet;

/** Step of a host's maintenance. */
public enum MaintenanceStep {
    /** The host is not under maintenance. */
    NONE(true),
    /** Granted: no new work is placed, work in flight finishes. */
    DRAINING(false),
    /** Drained, and held so until an operator returns it. */
    HELD(false),
    /** The host is being rebooted. */
    REBOOTING(false),
    /** The host is back and is being checked. */
    VERIFYING(false),
    /** The host did not come back as it should. */
    FAILED(false);

    private final boolean available;

    MaintenanceStep(boolean available) {
        this.available = available;
    }

    /** Tells whether a host at this step can take new work. */
    public boolean isAvailable() {
        return available;
    }
}
