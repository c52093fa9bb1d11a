package org.cicadalead.logic.request;

import java.time.Duration;
import org.cicadalead.model.request.AttemptOutcome;

/**
 * Health of an upstream, derived from the outcomes of attempts. When the weight of consecutive failures reaches
 * {@link #EJECTION_THRESHOLD}, the upstream is ejected; the duration doubles with each consecutive ejection. After the
 * ejection, one request at a time probes the upstream, and after a successful probe the number of usable slots grows
 * gradually. Immutable.
 *
 * @param consecutiveFailures weight of the consecutive failures
 * @param consecutiveEjections number of consecutive ejections
 * @param ejectedUntil monotonic time of the end of the ejection; meaningful while {@code consecutiveEjections} is
 *     positive
 * @param state which of its slots may be used
 * @param stateEnteredAt monotonic time at which the state was entered
 */
public record UpstreamHealthRecord(
        int consecutiveFailures, int consecutiveEjections, long ejectedUntil, State state, long stateEnteredAt) {
    /** Total weight of consecutive failures at which an upstream is ejected. */
    public static final int EJECTION_THRESHOLD = 5;

    /** Duration of the first ejection. */
    public static final Duration INITIAL_EJECTION_DURATION = Duration.ofSeconds(2);

    /** Time over which the usable slots of an upstream grow back to all of its slots after an ejection. */
    public static final Duration SLOW_START_DURATION = Duration.ofSeconds(5);

    private static final int MAX_EJECTION_DOUBLINGS = 4;

    /** Which slots of an upstream may be used. */
    public enum State {
        /** All slots may be used. */
        HEALTHY,
        /** No slot until the ejection ends, then one at a time for probes. */
        EJECTED,
        /** A growing part of its slots may be used. */
        SLOW_START
    }

    /** Returns the health of an upstream without any recorded outcome. */
    public static UpstreamHealthRecord initial() {
        return new UpstreamHealthRecord(0, 0, 0, State.HEALTHY, 0);
    }

    /** Returns how many of the given slots may be in use at the given time. */
    public int usableSlots(int slots, long now) {
        return switch (state) {
            case HEALTHY -> slots;
            case EJECTED -> now - ejectedUntil >= 0 ? Math.min(1, slots) : 0;
            case SLOW_START -> {
                long additionalSlots = slots * Math.max(0, now - stateEnteredAt) / SLOW_START_DURATION.toNanos();
                yield (int) Math.min(slots, 1 + additionalSlots);
            }
        };
    }

    /** Returns whether the upstream is ejected or being probed. */
    public boolean isEjected() {
        return state == State.EJECTED;
    }

    /**
     * Returns the health after an attempt. A healthy upstream is ejected only if {@code canEject} is true, that is, if
     * the availability budget permits it; a failed probe always extends the ejection.
     */
    public UpstreamHealthRecord withOutcome(AttemptOutcome outcome, boolean canEject, long now) {
        if (outcome == AttemptOutcome.VIEW_OUT_OF_DATE || outcome == AttemptOutcome.CALLER_FAILED) {
            return this;
        }
        return outcome.failureWeight() == 0 ? withSuccess(now) : withFailure(outcome.failureWeight(), canEject, now);
    }

    private UpstreamHealthRecord withSuccess(long now) {
        return switch (state) {
            case HEALTHY ->
                consecutiveFailures == 0 ? this : new UpstreamHealthRecord(0, 0, 0, State.HEALTHY, stateEnteredAt);
            case EJECTED ->
                now - ejectedUntil >= 0
                        ? new UpstreamHealthRecord(0, consecutiveEjections, ejectedUntil, State.SLOW_START, now)
                        : this;
            case SLOW_START ->
                now - stateEnteredAt >= SLOW_START_DURATION.toNanos()
                        ? initial()
                        : new UpstreamHealthRecord(
                                0, consecutiveEjections, ejectedUntil, State.SLOW_START, stateEnteredAt);
        };
    }

    private UpstreamHealthRecord withFailure(int weight, boolean canEject, long now) {
        if (state == State.EJECTED && now - ejectedUntil < 0) {
            return this;
        }
        int newFailures = Math.min(EJECTION_THRESHOLD, consecutiveFailures + weight);
        boolean probeFailed = state == State.EJECTED;
        if (probeFailed || (newFailures >= EJECTION_THRESHOLD && canEject)) {
            long duration =
                    INITIAL_EJECTION_DURATION.toNanos() << Math.min(MAX_EJECTION_DOUBLINGS, consecutiveEjections);
            return new UpstreamHealthRecord(newFailures, consecutiveEjections + 1, now + duration, State.EJECTED, now);
        }
        return new UpstreamHealthRecord(newFailures, consecutiveEjections, ejectedUntil, state, stateEnteredAt);
    }
}
