package org.cicadalead.logic.append;

import java.time.Duration;

/**
 * Token bucket with one process's share of the append rate that all processes may use together. Within any second, all
 * processes append at most {@link #TOTAL_APPENDS_PER_SECOND} plus the content of their full buckets. Immutable.
 *
 * @param tokens number of appends that may be made now
 * @param refilledAtNanoseconds monotonic time of the last refill
 */
public record AppendBudget(double tokens, long refilledAtNanoseconds) {
    /** Maximum number of appends per second of all processes together. */
    public static final int TOTAL_APPENDS_PER_SECOND = 200;

    /** Time at the full rate for which a full bucket holds appends. */
    private static final double BURST_SECONDS = 0.5;
    /** Minimum number of appends that a full bucket holds, regardless of the number of processes. */
    private static final double MIN_CAPACITY = 4;

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /**
     * Returns the budget of a process that starts. It allows one append, so that many processes that start together
     * cause no burst.
     */
    public static AppendBudget createInitial(long nowNanoseconds) {
        return new AppendBudget(1, nowNanoseconds);
    }

    /** Tries to acquire one append of a class. The total rate is shared evenly by the given number of processes. */
    public Decision tryAcquire(AppendClass appendClass, int processes, long nowNanoseconds) {
        double rate = ratePerProcess(processes);
        double capacity = capacityPerProcess(processes);
        double elapsedSeconds = Math.max(0, nowNanoseconds - refilledAtNanoseconds) / NANOSECONDS_PER_SECOND;
        double available = Math.min(capacity, tokens + elapsedSeconds * rate);
        double required = 1 + appendClass.reservedShare() * (capacity - 1);
        if (available >= required) {
            return new Decision(new AppendBudget(available - 1, nowNanoseconds), true, Duration.ZERO);
        }
        long waitNanoseconds = (long) Math.ceil((required - available) / rate * NANOSECONDS_PER_SECOND);
        return new Decision(new AppendBudget(available, nowNanoseconds), false, Duration.ofNanos(waitNanoseconds));
    }

    /** Returns the appends per second that each of the given number of processes may make. */
    public static double ratePerProcess(int processes) {
        return (double) TOTAL_APPENDS_PER_SECOND / Math.max(1, processes);
    }

    /** Returns the maximum number of appends that each of the given number of processes may make at once. */
    public static double capacityPerProcess(int processes) {
        return Math.max(MIN_CAPACITY, ratePerProcess(processes) * BURST_SECONDS);
    }

    /**
     * Result of trying to acquire an append. Immutable.
     *
     * @param budget the budget afterwards
     * @param granted whether the append may be made
     * @param delay time until the append can be granted; zero when it was granted
     */
    public record Decision(AppendBudget budget, boolean granted, Duration delay) {}
}
