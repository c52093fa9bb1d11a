package org.cicadalead.logic.membership;

import java.time.Duration;

/** Durations of view leases, and how long other processes wait for them to expire. Stateless. */
public final class LeaseDurations {
    /** How long a view lease is valid, counted on the holder's monotonic clock from just before it was requested. */
    public static final Duration VIEW_LEASE_DURATION = Duration.ofSeconds(8);

    /**
     * How long another process waits, on its own monotonic clock, until it considers a lease expired. The margin over
     * the lease duration allows for drift between the two clocks.
     */
    public static final Duration EXPIRY_WAIT = Duration.ofSeconds(10);

    private LeaseDurations() {}
}
