package org.cicadalead.logic.work;

/**
 * The platform's bounds that scheduling depends on, in milliseconds unless said otherwise. Immutable.
 *
 * @param lease time for which hosts may go on without hearing from the scheduling process
 * @param unconfirmedLimit longest time for which a leader gives orders without a confirmed heartbeat
 * @param stopTimeout longest time that a host takes to stop a run
 * @param maintenance time that a machine is down for maintenance
 * @param remoteFactor factor on the run time of a task away from its data (a ratio)
 */
public record SchedulingTerms(
        long lease, long unconfirmedLimit, long stopTimeout, long maintenance, double remoteFactor) {
    /** Slowest rate of a host's clock, as the platform states it (a ratio). */
    public static final double SLOWEST_CLOCK = 0.98;

    /** Returns the time after the start of a term by which every lease of earlier terms has expired. */
    public long earlierLeasesGone() {
        return unconfirmedLimit + Math.round(lease / SLOWEST_CLOCK) + 1;
    }
}
