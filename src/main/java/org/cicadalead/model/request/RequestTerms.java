package org.cicadalead.model.request;

import org.cicadalead.model.identity.RequestIdentifier;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.identity.TeamName;

/**
 * Properties of a request that determine its position in the queue and its retries. Immutable.
 *
 * @param identifier identifier assigned at admission
 * @param service service to which it is addressed
 * @param team team to which it is charged
 * @param urgency 0 (most urgent) to 7, as in RFC 9218
 * @param idempotent whether it may be resent after it may have run
 * @param arrivalNanoseconds monotonic time of admission
 * @param deadlineNanoseconds monotonic time by which the caller expects its response
 */
public record RequestTerms(
        RequestIdentifier identifier,
        ServiceName service,
        TeamName team,
        int urgency,
        boolean idempotent,
        long arrivalNanoseconds,
        long deadlineNanoseconds) {
    /** Number of urgency levels. */
    public static final int URGENCY_COUNT = 8;

    /** Urgency of a request that specifies none. */
    public static final int DEFAULT_URGENCY = 3;

    /** Checks the urgency. */
    public RequestTerms {
        if (urgency < 0 || urgency >= URGENCY_COUNT) {
            throw new IllegalArgumentException("urgency " + urgency + " is not between 0 and 7");
        }
    }

    /** Returns the time left until the deadline; negative after it. */
    public long remainingNanoseconds(long now) {
        return deadlineNanoseconds - now;
    }
}
