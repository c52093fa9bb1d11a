package org.cicadalead.logic.membership;

import java.time.Duration;

/** How long view leases hold, and how long others wait for them to lapse. Stateless. */
public final class LeaseDurations {
    /** How long a view is good after the moment before it was asked for, on the holder's monotonic clock. */
    public static final Duration VIEW_LEASE_DURATION = Duration.ofSeconds(8);

    /**
     * How long another process waits until a lease has lapsed, on its own monotonic clock; longer than the lease by
     * what two clocks may drift apart.
     */
    public static final Duration EXPIRY_WAIT = Duration.ofSeconds(10);

    private LeaseDurations() {}
}
