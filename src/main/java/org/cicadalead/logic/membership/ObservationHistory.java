package org.cicadalead.logic.membership;

import java.time.Duration;

/**
 * The latest sequence of equal, consecutive observations of a member. Immutable.
 *
 * @param observation what each attempt showed
 * @param count number of consecutive attempts that showed it
 * @param sinceNanoseconds start of the first of these attempts, on the monotonic clock
 */
public record ObservationHistory(PeerObservation observation, int count, long sinceNanoseconds) {
    /**
     * How long an observation must persist before it is acted on. This is longer than a sponsored process serves after
     * it has lost its sponsor.
     */
    public static final Duration CONFIRMATION_TIME = LeaseDurations.EXPIRY_WAIT;

    private static final int MIN_OBSERVATIONS = 3;

    /** Returns a history with a single observation. */
    public static ObservationHistory of(PeerObservation observation, long nowNanoseconds) {
        return new ObservationHistory(observation, 1, nowNanoseconds);
    }

    /** Returns this history extended by an equal observation, or a new history if the observation differs. */
    public ObservationHistory withObservation(PeerObservation nextObservation, long nowNanoseconds) {
        return nextObservation == observation
                ? new ObservationHistory(observation, count + 1, sinceNanoseconds)
                : of(nextObservation, nowNanoseconds);
    }

    /** Returns whether it is confirmed that the member has ended. */
    public boolean isEndConfirmed(long nowNanoseconds) {
        return observation == PeerObservation.ENDED && isConfirmed(nowNanoseconds);
    }

    /** Returns whether it is confirmed that the member is unreachable. It then cannot reach the hosts here either. */
    public boolean isCutOffConfirmed(long nowNanoseconds) {
        boolean isUnreachable = observation == PeerObservation.ENDED || observation == PeerObservation.CUT_OFF;
        return isUnreachable && isConfirmed(nowNanoseconds);
    }

    private boolean isConfirmed(long nowNanoseconds) {
        return count >= MIN_OBSERVATIONS && nowNanoseconds - sinceNanoseconds >= CONFIRMATION_TIME.toNanos();
    }
}
