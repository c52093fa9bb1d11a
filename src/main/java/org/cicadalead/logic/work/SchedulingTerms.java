package org.cicadalead.logic.work;

/**
 * The platform's bounds that scheduling depends on, in milliseconds unless said otherwise. Immutable.
 *
 * @param leaseMilliseconds time for which hosts may go on without hearing from the scheduling process
 * @param startLimitMilliseconds longest time for which a leader starts work without a confirmed heartbeat
 * @param renewalLimitMilliseconds longest time for which a leader renews leases without a confirmed heartbeat
 * @param stopTimeoutMilliseconds longest time that a host takes to stop a run
 * @param maintenanceMilliseconds time that a machine is down for maintenance
 * @param remoteFactor factor on the run time of a task away from its data (a ratio)
 */
public record SchedulingTerms(
        long leaseMilliseconds,
        long startLimitMilliseconds,
        long renewalLimitMilliseconds,
        long stopTimeoutMilliseconds,
        long maintenanceMilliseconds,
        double remoteFactor) {
    /** Slowest rate of a host's clock, as the platform states it (a ratio). */
    public static final double SLOWEST_CLOCK_RATE = 0.98;

    /** Time within which a stored job is read by the scheduling process, also when the store is slow. */
    private static final long MAX_READ_LAG_MILLISECONDS = 1_000;

    /** Returns the time after the start of a term from which a job that is read was not started by an earlier term. */
    public long earlierStartWindowMilliseconds() {
        return startLimitMilliseconds + MAX_READ_LAG_MILLISECONDS;
    }

    /** Returns the time after the start of a term by which every lease of earlier terms has expired. */
    public long earlierLeaseExpiryMilliseconds() {
        return renewalLimitMilliseconds + Math.round(leaseMilliseconds / SLOWEST_CLOCK_RATE) + 1;
    }
}
