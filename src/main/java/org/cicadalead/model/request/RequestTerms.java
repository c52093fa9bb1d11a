package org.cicadalead.model.request;

import org.cicadalead.model.identity.RequestIdentifier;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.identity.TeamName;

/**
 * What decides on a request's place in the queue and on its retries. Immutable.
 *
 * @param identifier given at admission
 * @param service the service that it asks
 * @param team the team that it is charged to
 * @param urgency 0 (most urgent) to 7, as in RFC 9218
 * @param idempotent whether it may be sent again after it was sent
 * @param arrivalNanoseconds monotonic time of admission
 * @param deadlineNanoseconds monotonic time by which the caller wants its answer
 */
public record RequestTerms(
        RequestIdentifier identifier,
        ServiceName service,
        TeamName team,
        int urgency,
        boolean idempotent,
        long arrivalNanoseconds,
        long deadlineNanoseconds) {
    /** Number of urgencies. */
    public static final int URGENCY_COUNT = 8;

    /** Urgency of a request that names none. */
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
