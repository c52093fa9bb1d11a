package org.cicadalead.logic.work;

/**
 * The platform's bounds that scheduling depends on, in milliseconds unless said otherwise. Immutable.
 *
 * @param lease time for which hosts may go on without hearing from the scheduling process
 * @param startLimit longest time for which a leader starts work without a confirmed heartbeat
 * @param unconfirmedLimit longest time for which a leader renews leases without a confirmed heartbeat
 * @param stopTimeout longest time that a host takes to stop a run
 * @param maintenance time that a machine is down for maintenance
 * @param remoteFactor factor on the run time of a task away from its data (a ratio)
 */
public record SchedulingTerms(
        long lease, long startLimit, long unconfirmedLimit, long stopTimeout, long maintenance, double remoteFactor) {
    /** Slowest rate of a host's clock, as the platform states it (a ratio). */
    public static final double SLOWEST_CLOCK = 0.98;

    /** Time within which a stored job is read by the scheduling process, also when the store is slow. */
    private static final long READING_LAG = 1_000;

    /** Returns the time after the start of a term from which a job that is read was not started by an earlier term. */
    public long earlierStartsOver() {
        return startLimit + READING_LAG;
    }

    /** Returns the time after the start of a term by which every lease of earlier terms has expired. */
    public long earlierLeasesGone() {
        return unconfirmedLimit + Math.round(lease / SLOWEST_CLOCK) + 1;
    }
}
