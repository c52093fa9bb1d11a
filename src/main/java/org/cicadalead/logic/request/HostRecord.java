package org.cicadalead.logic.request;

import java.time.Duration;
import org.cicadalead.model.request.AttemptOutcome;

/**
 * What the outcomes of attempts say about an upstream. After {@link #EJECTION_THRESHOLD} failures in a row it is
 * ejected for a time that doubles; then one request at a time probes it, and after a success its slots come back
 * slowly. Immutable.
 *
 * @param failures weight of failures in a row
 * @param ejections ejections in a row
 * @param ejectedUntil monotonic time of the end of the ejection; meaningful while {@code ejections} is positive
 * @param state what the upstream may take
 * @param since monotonic time at which the state was entered
 */
public record HostRecord(int failures, int ejections, long ejectedUntil, State state, long since) {
    /** Weight of failures in a row that ejects an upstream. */
    public static final int EJECTION_THRESHOLD = 5;

    /** Duration of the first ejection. */
    public static final Duration FIRST_EJECTION = Duration.ofSeconds(2);

    /** Time over which the slots of a returned upstream grow to all. */
    public static final Duration SLOW_START = Duration.ofSeconds(5);

    private static final int MAXIMUM_DOUBLINGS = 4;

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
    public static HostRecord unknown() {
        return new HostRecord(0, 0, 0, State.HEALTHY, 0);
    }

    /** Returns how many of a number of slots may be in use now. */
    public int slotsNow(int slots, long now) {
        return switch (state) {
            case HEALTHY -> slots;
            case EJECTED -> now - ejectedUntil >= 0 ? Math.min(1, slots) : 0;
            case SLOW_START -> {
                long grown = slots * Math.max(0, now - since) / SLOW_START.toNanos();
                yield (int) Math.min(slots, 1 + grown);
            }
        };
    }

    /** Tells whether the upstream is out of use or on probation. */
    public boolean isEjected() {
        return state == State.EJECTED;
    }

    /** Notes the end of an attempt; it ejects only when the availability budget has room for it. */
    public HostRecord after(AttemptOutcome outcome, boolean mayEject, long now) {
        if (outcome == AttemptOutcome.VIEW_OUT_OF_DATE || outcome == AttemptOutcome.CALLER_FAILED) {
            return this;
        }
        return outcome.failureWeight() == 0 ? afterSuccess(now) : afterFailure(outcome.failureWeight(), mayEject, now);
    }

    private HostRecord afterSuccess(long now) {
        return switch (state) {
            case HEALTHY -> failures == 0 ? this : new HostRecord(0, 0, 0, State.HEALTHY, since);
            case EJECTED ->
                now - ejectedUntil >= 0 ? new HostRecord(0, ejections, ejectedUntil, State.SLOW_START, now) : this;
            case SLOW_START ->
                now - since >= SLOW_START.toNanos()
                        ? unknown()
                        : new HostRecord(0, ejections, ejectedUntil, State.SLOW_START, since);
        };
    }

    private HostRecord afterFailure(int weight, boolean mayEject, long now) {
        if (state == State.EJECTED && now - ejectedUntil < 0) {
            return this;
        }
        int newFailures = Math.min(EJECTION_THRESHOLD, failures + weight);
        boolean probeFailed = state == State.EJECTED;
        if (probeFailed || (newFailures >= EJECTION_THRESHOLD && mayEject)) {
            long duration = FIRST_EJECTION.toNanos() << Math.min(MAXIMUM_DOUBLINGS, ejections);
            return new HostRecord(newFailures, ejections + 1, now + duration, State.EJECTED, now);
        }
        return new HostRecord(newFailures, ejections, ejectedUntil, state, since);
    }
}
