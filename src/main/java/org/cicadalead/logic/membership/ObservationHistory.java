package org.cicadalead.logic.membership;

import java.time.Duration;

/**
 * The latest unbroken run of equal evidence on a member. Immutable.
 *
 * @param observation the evidence
 * @param count attempts that showed it
 * @param sinceNanoseconds when the first of them began, on the monotonic clock
 */
public record ObservationHistory(PeerObservation observation, int count, long sinceNanoseconds) {
    /**
     * How long evidence must last before it is acted on; longer than a sponsored process serves without its sponsor.
     */
    public static final Duration CONFIRMATION_TIME = LeaseDurations.EXPIRY_WAIT;

    private static final int MIN_OBSERVATIONS = 3;

    /** Returns the history after the first attempt. */
    public static ObservationHistory of(PeerObservation evidence, long nowNanoseconds) {
        return new ObservationHistory(evidence, 1, nowNanoseconds);
    }

    /** Returns the history after another attempt. */
    public ObservationHistory withObservation(PeerObservation next, long nowNanoseconds) {
        return next == observation
                ? new ObservationHistory(observation, count + 1, sinceNanoseconds)
                : of(next, nowNanoseconds);
    }

    /** Tells whether the member has certainly ended. */
    public boolean isEndConfirmed(long nowNanoseconds) {
        return observation == PeerObservation.ENDED && isConfirmed(nowNanoseconds);
    }

    /** Tells whether the member cannot be reached, so that it cannot reach hosts here either. */
    public boolean isCutOffConfirmed(long nowNanoseconds) {
        boolean away = observation == PeerObservation.ENDED || observation == PeerObservation.CUT_OFF;
        return away && isConfirmed(nowNanoseconds);
    }

    private boolean isConfirmed(long nowNanoseconds) {
        return count >= MIN_OBSERVATIONS && nowNanoseconds - sinceNanoseconds >= CONFIRMATION_TIME.toNanos();
    }
}
