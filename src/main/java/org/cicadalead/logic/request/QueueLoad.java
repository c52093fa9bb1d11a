package org.cicadalead.logic.request;

import java.time.Duration;

/**
 * Capacity that serves a queue, from which waiting times are estimated. Immutable.
 *
 * @param slots slots that this process may use for the service
 * @param meanServiceNanoseconds mean time for which a request holds a slot
 */
public record QueueLoad(int slots, long meanServiceNanoseconds) {
    private static final long NANOSECONDS_PER_SECOND = Duration.ofSeconds(1).toNanos();
    private static final int MAX_RETRY_AFTER_SECONDS = 60;

    /** Returns the expected waiting time behind the given number of requests. */
    public long expectedWaitNanoseconds(long requestsAhead) {
        return requestsAhead * meanServiceNanoseconds / Math.max(1, slots);
    }

    /**
     * Returns the time after which a rejected caller should retry: when the requests that wait now will have been
     * served.
     */
    public int retryAfterSeconds(long waiting) {
        long seconds = (expectedWaitNanoseconds(waiting) + NANOSECONDS_PER_SECOND - 1) / NANOSECONDS_PER_SECOND;
        return (int) Math.max(1, Math.min(MAX_RETRY_AFTER_SECONDS, seconds));
    }
}
