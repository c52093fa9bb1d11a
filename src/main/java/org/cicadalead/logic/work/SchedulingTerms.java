package org.cicadalead.logic.work;

/**
 * Limits of the platform that scheduling depends on. Immutable.
 *
 * @param leaseMilliseconds time for which a host continues its runs without contact to the leader
 * @param maximumLeaseMilliseconds longest lease of the platform; a host shortens a longer one to it
 * @param startLimitMilliseconds maximum time for which a leader starts work without a confirmed heartbeat
 * @param leaseHorizonMilliseconds time by which every lease of a leader has expired for certain after the sending of
 *     its last confirmed record, and every lease of a host after its last reply
 * @param stopTimeoutMilliseconds maximum time that a host takes to stop a run
 * @param maintenanceMilliseconds time that a machine is down for maintenance
 * @param remoteFactor factor by which a task runs longer on a rack without its data (a ratio)
 * @param entitlementWindowMilliseconds time over which the jobs that an account is entitled to are counted
 */
public record SchedulingTerms(
        long leaseMilliseconds,
        long maximumLeaseMilliseconds,
        long startLimitMilliseconds,
        long leaseHorizonMilliseconds,
        long stopTimeoutMilliseconds,
        long maintenanceMilliseconds,
        double remoteFactor,
        long entitlementWindowMilliseconds) {
    /** Window of deployments that name none: a weight is a number of jobs a second. */
    public static final long DEFAULT_ENTITLEMENT_WINDOW_MILLISECONDS = 1_000;

    /** Slowest rate of a host's clock that the platform allows (a ratio). */
    public static final double SLOWEST_CLOCK_RATE = 0.98;

    /** Part of the horizon that covers the rounding of times and of readings of clocks to whole milliseconds. */
    private static final long ROUNDING_MILLISECONDS = 2;

    /** Maximum time for which leaders of versions that announced no bounds renewed leases, each of the full length. */
    private static final long UNANNOUNCED_RENEWAL_MILLISECONDS = 6_000;

    /** Maximum time until the leader has read a stored job, even when the store is slow. */
    private static final long MAX_READ_LAG_MILLISECONDS = 1_000;

    /** Checks that a lease is left whenever a leader may start work. */
    public SchedulingTerms {
        long oldestStart = Math.max(startLimitMilliseconds, WorkHost.UNREACHABLE_AFTER_MILLISECONDS);
        if (oldestStart >= (leaseHorizonMilliseconds - ROUNDING_MILLISECONDS) * SLOWEST_CLOCK_RATE) {
            throw new IllegalArgumentException("The lease horizon of " + leaseHorizonMilliseconds
                    + " ms is too short for starts " + oldestStart + " ms after a record or a reply");
        }
    }

    /** Creates the terms of a deployment that names no window of entitlement. */
    public SchedulingTerms(
            long leaseMilliseconds,
            long maximumLeaseMilliseconds,
            long startLimitMilliseconds,
            long leaseHorizonMilliseconds,
            long stopTimeoutMilliseconds,
            long maintenanceMilliseconds,
            double remoteFactor) {
        this(
                leaseMilliseconds,
                maximumLeaseMilliseconds,
                startLimitMilliseconds,
                leaseHorizonMilliseconds,
                stopTimeoutMilliseconds,
                maintenanceMilliseconds,
                remoteFactor,
                DEFAULT_ENTITLEMENT_WINDOW_MILLISECONDS);
    }

    /**
     * Returns the time after the start of a term in milliseconds; a job that is first read later cannot have been
     * started by an earlier term.
     */
    public long earlierStartWindowMilliseconds() {
        return startLimitMilliseconds + MAX_READ_LAG_MILLISECONDS;
    }

    /**
     * Returns the milliseconds after the last confirmed heartbeat of a term by which every lease of that term has
     * expired, also on a host with the slowest clock: no grant reaches beyond it, see {@link #longestLease}.
     */
    public long earlierLeaseExpiryMilliseconds() {
        return leaseHorizonMilliseconds;
    }

    /**
     * Returns the milliseconds after the last record of a term by which its leases have expired, for versions that
     * announced no bounds and gave full leases until their limit, by readings of clocks as old as a host may be silent.
     */
    long unannouncedLeaseExpiryMilliseconds() {
        return UNANNOUNCED_RENEWAL_MILLISECONDS
                + Math.round(longestEarlierLeaseMilliseconds() / SLOWEST_CLOCK_RATE)
                + 1;
    }

    /**
     * Returns the longest lease, counted from a new reading of the host's clock, that a run of an earlier term may
     * have. A host that restarted before the run was ordered has shortened a deadline by the clock of its former
     * process to the maximum of the platform.
     */
    long longestAdoptedLeaseMilliseconds() {
        return Math.max(maximumLeaseMilliseconds, longestEarlierLeaseMilliseconds());
    }

    /**
     * Returns the longest lease, counted from a new reading of the host's clock, that an earlier term may have given
     * the host before that reading. It counted from an older reading, since which the clock may have fallen behind.
     */
    long longestEarlierLeaseMilliseconds() {
        double clockLag = WorkHost.UNREACHABLE_AFTER_MILLISECONDS * (1 - SLOWEST_CLOCK_RATE);
        return leaseMilliseconds + (long) Math.ceil(clockLag);
    }

    /**
     * Returns the longest lease that has expired for certain after a time in milliseconds of this process, counted in
     * milliseconds of a host's clock from a reading that was received at the beginning of that time. The host read its
     * clock before, and its clock advances by at least {@link #SLOWEST_CLOCK_RATE} of the time, so it has then advanced
     * by this lease at the latest.
     */
    static long longestLease(long milliseconds) {
        return (long) Math.floor((milliseconds - ROUNDING_MILLISECONDS) * SLOWEST_CLOCK_RATE);
    }
}
