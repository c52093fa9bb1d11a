package org.cicadalead.model.fleet;

/** Observed health of a host. */
public enum HostHealth {
    /** The host is up. */
    UP(true),
    /** The platform has announced that the host will leave; it takes no new work. */
    LEAVING(false),
    /** The host has failed. */
    DOWN(false);

    private final boolean available;

    HostHealth(boolean available) {
        this.available = available;
    }

    /** Tells whether the host can take new work. */
    public boolean isAvailable() {
        return available;
    }
}
