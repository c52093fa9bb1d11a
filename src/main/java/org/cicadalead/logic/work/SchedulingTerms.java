package org.cicadalead.logic.work;

/**
 * Limits of the platform that scheduling depends on. Immutable.
 *
 * @param leaseMilliseconds time for which a host continues its runs without contact to the leader
 * @param startLimitMilliseconds maximum time for which a leader starts work without a confirmed heartbeat
 * @param renewalLimitMilliseconds maximum time for which a leader renews leases without a confirmed heartbeat
 * @param stopTimeoutMilliseconds maximum time that a host takes to stop a run
 * @param maintenanceMilliseconds time that a machine is down for maintenance
 * @param remoteFactor factor by which a task runs longer on a rack without its data (a ratio)
 */
public record SchedulingTerms(
        long leaseMilliseconds,
        long startLimitMilliseconds,
        long renewalLimitMilliseconds,
        long stopTimeoutMilliseconds,
        long maintenanceMilliseconds,
        double remoteFactor) {
    /** Slowest rate of a host's clock that the platform allows (a ratio). */
    public static final double SLOWEST_CLOCK_RATE = 0.98;

    /** Maximum time until the leader has read a stored job, even when the store is slow. */
    private static final long MAX_READ_LAG_MILLISECONDS = 1_000;

    /**
     * Returns the time after the start of a term in milliseconds; a job that is first read later cannot have been
     * started by an earlier term.
     */
    public long earlierStartWindowMilliseconds() {
        return startLimitMilliseconds + MAX_READ_LAG_MILLISECONDS;
    }

    /**
     * Returns the milliseconds after the last confirmed heartbeat of a term by which every lease of that term has
     * expired. The last renewal may count from a reading of the host's clock that is as old as a host may be silent,
     * and since which the clock may have fallen behind.
     */
    public long earlierLeaseExpiryMilliseconds() {
        double clockLag = WorkHost.UNREACHABLE_AFTER_MILLISECONDS * (1 - SLOWEST_CLOCK_RATE);
        return renewalLimitMilliseconds + Math.round((leaseMilliseconds + clockLag) / SLOWEST_CLOCK_RATE) + 1;
    }
}
