package org.cicadalead.logic.request;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.request.AttemptOutcome;

/** Slots and health of one worker, as observed by this process. Safe for use by several threads. */
public final class HostRuntime {
    /** Time for which a worker is avoided after an attempt ended with {@link AttemptOutcome#VIEW_OUT_OF_DATE}. */
    public static final Duration AVOIDANCE_DURATION = Duration.ofMillis(250);

    private final HostName name;
    private final HostSlots slots = new HostSlots();
    private final AtomicReference<UpstreamHealthRecord> record = new AtomicReference<>(UpstreamHealthRecord.initial());
    private final AtomicReference<Optional<Long>> avoidedSince = new AtomicReference<>(Optional.empty());

    /** Creates the runtime of a worker without any recorded outcome. */
    public HostRuntime(HostName name) {
        this.name = name;
    }

    /** Returns the name of the worker's host. */
    public HostName name() {
        return name;
    }

    /** Returns its slots. */
    public HostSlots slots() {
        return slots;
    }

    /** Returns its current health. */
    public UpstreamHealthRecord record() {
        return record.get();
    }

    /** Returns how many slots may be in use at the given time. */
    public int usableSlots(long now) {
        if (avoidedSince
                .get()
                .filter(since -> now - since < AVOIDANCE_DURATION.toNanos())
                .isPresent()) {
            return 0;
        }
        return record.get().usableSlots(slots.counts().limit(), now);
    }

    /** Records the outcome of an attempt and returns the change of the health. */
    public HealthChange recordOutcome(AttemptOutcome outcome, boolean canEject, long now) {
        if (outcome == AttemptOutcome.VIEW_OUT_OF_DATE) {
            avoidedSince.set(Optional.of(now));
        }
        UpstreamHealthRecord previous = record.get();
        UpstreamHealthRecord current = previous.withOutcome(outcome, canEject, now);
        while (!record.compareAndSet(previous, current)) {
            previous = record.get();
            current = previous.withOutcome(outcome, canEject, now);
        }
        return new HealthChange(previous, current);
    }

    /**
     * A change of the health. Immutable.
     *
     * @param previous the health before the attempt
     * @param current the health after the attempt
     */
    public record HealthChange(UpstreamHealthRecord previous, UpstreamHealthRecord current) {
        /** Returns whether the worker was ejected, or its ejection was extended. */
        public boolean isEjection() {
            return current.isEjected() && current.consecutiveEjections() > previous.consecutiveEjections();
        }

        /** Returns whether the worker returned to service. */
        public boolean isReturnToService() {
            return previous.isEjected() && !current.isEjected();
        }
    }
}
