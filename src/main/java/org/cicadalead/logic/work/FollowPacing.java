package org.cicadalead.logic.work;

/**
 * Decides how long a follower waits before it reads the newest record of the leader again. The load pattern: some tens
 * of followers read all day while the leader works, so that their reads are most of the calls to the store and, in
 * processes that do little else, most of the processor time; a read matters only when the leader is lost. While each
 * read finds a new record, a follower reads seldom, and from the first one that finds none on, often: it is the
 * follower whose phase is next to the last record that takes over. Not safe for use by several threads.
 */
public final class FollowPacing {
    /**
     * Delay after a read that found a new record, in milliseconds: longer than the leader's heartbeat interval, so that
     * the next read finds one too, and within what the bounds of leases leave for the reading of a record.
     */
    private static final long RELAXED_DELAY_MILLISECONDS = 400;

    /** Delay after a read that found none or failed, in milliseconds; a lost leader is replaced after six of them. */
    private static final long ALERT_DELAY_MILLISECONDS = 200;

    private long newestOffset = -1;

    /** Returns the delay in milliseconds after a read that found the record at an offset to be the newest. */
    public long delayAfter(long offset) {
        boolean foundNewRecord = offset != newestOffset;
        newestOffset = offset;
        return foundNewRecord ? RELAXED_DELAY_MILLISECONDS : ALERT_DELAY_MILLISECONDS;
    }

    /** Returns the delay in milliseconds after a read that failed. */
    public long delayAfterFailure() {
        return ALERT_DELAY_MILLISECONDS;
    }
}
