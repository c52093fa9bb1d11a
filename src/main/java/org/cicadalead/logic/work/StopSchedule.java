package org.cicadalead.logic.work;

import java.time.Duration;

/**
 * Divides the grace period of a process that stops: it drains, then answers what still waits, then closes. Every wait
 * of a request ends with the drain, so that each request is answered before the connections close. Immutable.
 *
 * @param drain time from the signal to stop until no request may wait any more
 * @param answering time after the drain for the responses of the requests that waited until its end
 */
public record StopSchedule(Duration drain, Duration answering) {
    /**
     * Minimum time for which connections stay open, so that the platform observes that this process is not ready and
     * callers change to other processes.
     */
    private static final Duration MIN_DRAIN = Duration.ofMillis(2_600);

    /** Part of the grace period after the drain, in which requests are answered and the process ends. */
    private static final Duration CLOSING = Duration.ofMillis(800);

    /** Part of the closing time that is for responses; the rest is for the end of the servers and of the log. */
    private static final Duration MAX_ANSWERING = Duration.ofMillis(300);

    /** The closing time of a short grace period is this part of it (a divisor). */
    private static final int MIN_CLOSING_PART = 4;

    /** Creates the schedule of a grace period. */
    public static StopSchedule of(Duration gracePeriod) {
        Duration longestClosing = gracePeriod.dividedBy(MIN_CLOSING_PART);
        Duration closing = CLOSING.compareTo(longestClosing) < 0 ? CLOSING : longestClosing;
        Duration half = closing.dividedBy(2);
        return new StopSchedule(gracePeriod.minus(closing), MAX_ANSWERING.compareTo(half) < 0 ? MAX_ANSWERING : half);
    }

    /** Returns whether the connections may close before the drain ends, provided that no request is open. */
    public boolean mayCloseWhenIdle(Duration sinceSignal) {
        return sinceSignal.compareTo(MIN_DRAIN) >= 0 || isDrainOver(sinceSignal);
    }

    /** Returns whether no request may wait any more. */
    public boolean isDrainOver(Duration sinceSignal) {
        return sinceSignal.compareTo(drain) >= 0;
    }

    /** Returns whether the connections close although requests are open. */
    public boolean mustClose(Duration sinceSignal) {
        return sinceSignal.compareTo(drain.plus(answering)) >= 0;
    }
}
