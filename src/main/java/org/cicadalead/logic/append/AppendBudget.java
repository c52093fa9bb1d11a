package org.cicadalead.logic.append;

import java.time.Duration;

/**
 * A token bucket that holds one process's share of the appends that all processes may make together. Over any second,
 * all processes append at most {@link #TOTAL_APPENDS_PER_SECOND} and what their full buckets held. Immutable.
 *
 * @param tokens appends that may be made now
 * @param refilledAtNanoseconds monotonic time of the last refill
 */
public record AppendBudget(double tokens, long refilledAtNanoseconds) {
    /** Appends a second of all processes together. */
    public static final int TOTAL_APPENDS_PER_SECOND = 200;

    private static final double BURST_SECONDS = 0.5;
    private static final double MIN_CAPACITY = 4;
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Returns the budget of a process that starts: one append, so that many that start together make no burst. */
    public static AppendBudget createInitial(long nowNanoseconds) {
        return new AppendBudget(1, nowNanoseconds);
    }

    /** Takes one append of a class, with the budget shared evenly by a number of processes. */
    public Decision tryAcquire(AppendClass appendClass, int processes, long nowNanoseconds) {
        double rate = ratePerProcess(processes);
        double capacity = capacityPerProcess(processes);
        double elapsed = Math.max(0, nowNanoseconds - refilledAtNanoseconds) / NANOSECONDS_PER_SECOND;
        double available = Math.min(capacity, tokens + elapsed * rate);
        double needed = 1 + appendClass.reservedShare() * (capacity - 1);
        if (available >= needed) {
            return new Decision(new AppendBudget(available - 1, nowNanoseconds), true, Duration.ZERO);
        }
        long wait = (long) Math.ceil((needed - available) / rate * NANOSECONDS_PER_SECOND);
        return new Decision(new AppendBudget(available, nowNanoseconds), false, Duration.ofNanos(wait));
    }

    /** Returns the appends a second of one of a number of processes. */
    public static double ratePerProcess(int processes) {
        return (double) TOTAL_APPENDS_PER_SECOND / Math.max(1, processes);
    }

    /** Returns the most appends that one of a number of processes may make at once. */
    public static double capacityPerProcess(int processes) {
        return Math.max(MIN_CAPACITY, ratePerProcess(processes) * BURST_SECONDS);
    }

    /**
     * What became of an attempt to take an append. Immutable.
     *
     * @param budget the budget after it
     * @param granted whether the append may be made
     * @param delay when it was not granted: how long until it can be
     */
    public record Decision(AppendBudget budget, boolean granted, Duration delay) {}
}
