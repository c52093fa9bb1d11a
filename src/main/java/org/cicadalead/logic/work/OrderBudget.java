package org.cicadalead.logic.work;

/**
 * Limits orders to a rate, with a burst after a pause: the first orders of a demand peak are due all at once, and the
 * platform rejects those beyond its rate. Not thread-safe.
 */
final class OrderBudget {
    /** Orders that may be sent at once, as a part of those of a second (a ratio). */
    private static final double BURST_SHARE = 0.125;

    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final double ordersPerMillisecond;
    private final double burst;
    private double available;
    private long updatedAt = Long.MIN_VALUE;

    OrderBudget(double ordersPerSecond) {
        this.ordersPerMillisecond = ordersPerSecond / MILLISECONDS_PER_SECOND;
        this.burst = Math.max(1, ordersPerSecond * BURST_SHARE);
        this.available = burst;
    }

    /** Returns how many orders may be sent now. */
    int available(long now) {
        if (updatedAt != Long.MIN_VALUE) {
            available = Math.min(burst, available + (now - updatedAt) * ordersPerMillisecond);
        }
        updatedAt = now;
        return (int) available;
    }

    /** Counts orders that are sent. */
    void take(int orders) {
        available -= orders;
    }
}
