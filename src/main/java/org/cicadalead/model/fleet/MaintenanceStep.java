package org.cicadalead.model.fleet;

/** Step of a host's maintenance. */
public enum MaintenanceStep {
    /** The host is not under maintenance. */
    NONE(true),
    /** The host was granted: no new work is placed on it, and work in flight finishes. */
    DRAINING(false),
    /** The host is drained and stays so until an operator aborts the wave. */
    HELD(false),
    /** The host is being rebooted. */
    REBOOTING(false),
    /** The host has restarted and is being checked. */
    VERIFYING(false),
    /** The reboot or the check has failed. */
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
