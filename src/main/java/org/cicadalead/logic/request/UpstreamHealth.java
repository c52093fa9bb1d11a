package org.cicadalead.logic.request;

import java.time.Duration;
import org.cicadalead.model.request.AttemptOutcome;

/**
 * What the outcomes of attempts say about an upstream. After {@link #EJECTION_THRESHOLD} failures in a row it is
 * ejected for a time that doubles; then one request at a time probes it, and after a success its slots come back
 * slowly. Immutable.
 *
 * @param consecutiveFailures weight of the consecutive failures
 * @param consecutiveEjections number of consecutive ejections
 * @param ejectedUntil monotonic time of the end of the ejection; meaningful while {@code consecutiveEjections} is
 *     positive
 * @param state what the upstream may take
 * @param stateEnteredAt monotonic time at which the state was entered
 */
public record UpstreamHealth(
        int consecutiveFailures, int consecutiveEjections, long ejectedUntil, State state, long stateEnteredAt) {
    /** Weight of failures in a row that ejects an upstream. */
    public static final int EJECTION_THRESHOLD = 5;

    /** Duration of the first ejection. */
    public static final Duration INITIAL_EJECTION_DURATION = Duration.ofSeconds(2);

    /** Time over which the slots of a returned upstream grow to all. */
    public static final Duration SLOW_START_DURATION = Duration.ofSeconds(5);

    private static final int MAX_EJECTION_DOUBLINGS = 4;

    /** What an upstream may take. */
    public enum State {
        /** All of its slots. */
        HEALTHY,
        /** Nothing until the ejection ends, then one request at a time. */
        EJECTED,
        /** A growing part of its slots. */
        SLOW_START
    }

    /** Returns the record of an upstream that nothing is known of. */
    public static UpstreamHealth initial() {
        return new UpstreamHealth(0, 0, 0, State.HEALTHY, 0);
    }

    /** Returns how many of a number of slots may be in use now. */
    public int usableSlots(int slots, long now) {
        return switch (state) {
            case HEALTHY -> slots;
            case EJECTED -> now - ejectedUntil >= 0 ? Math.min(1, slots) : 0;
            case SLOW_START -> {
                long grown = slots * Math.max(0, now - stateEnteredAt) / SLOW_START_DURATION.toNanos();
                yield (int) Math.min(slots, 1 + grown);
            }
        };
    }

    /** Tells whether the upstream is out of use or on probation. */
    public boolean isEjected() {
        return state == State.EJECTED;
    }

    /** Notes the end of an attempt; it ejects only when the availability budget has room for it. */
    public UpstreamHealth withOutcome(AttemptOutcome outcome, boolean mayEject, long now) {
        if (outcome == AttemptOutcome.VIEW_OUT_OF_DATE || outcome == AttemptOutcome.CALLER_FAILED) {
            return this;
        }
        return outcome.failureWeight() == 0 ? withSuccess(now) : withFailure(outcome.failureWeight(), mayEject, now);
    }

    private UpstreamHealth withSuccess(long now) {
        return switch (state) {
            case HEALTHY ->
                consecutiveFailures == 0 ? this : new UpstreamHealth(0, 0, 0, State.HEALTHY, stateEnteredAt);
            case EJECTED ->
                now - ejectedUntil >= 0
                        ? new UpstreamHealth(0, consecutiveEjections, ejectedUntil, State.SLOW_START, now)
                        : this;
            case SLOW_START ->
                now - stateEnteredAt >= SLOW_START_DURATION.toNanos()
                        ? initial()
                        : new UpstreamHealth(0, consecutiveEjections, ejectedUntil, State.SLOW_START, stateEnteredAt);
        };
    }

    private UpstreamHealth withFailure(int weight, boolean mayEject, long now) {
        if (state == State.EJECTED && now - ejectedUntil < 0) {
            return this;
        }
        int newFailures = Math.min(EJECTION_THRESHOLD, consecutiveFailures + weight);
        boolean probeFailed = state == State.EJECTED;
        if (probeFailed || (newFailures >= EJECTION_THRESHOLD && mayEject)) {
            long duration =
                    INITIAL_EJECTION_DURATION.toNanos() << Math.min(MAX_EJECTION_DOUBLINGS, consecutiveEjections);
            return new UpstreamHealth(newFailures, consecutiveEjections + 1, now + duration, State.EJECTED, now);
        }
        return new UpstreamHealth(newFailures, consecutiveEjections, ejectedUntil, state, stateEnteredAt);
    }
}
