package org.cicadalead.logic.request;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.request.AttemptOutcome;

/** What this process knows of one worker from moment to moment. Safe for use by several threads. */
public final class HostRuntime {
    /** Time for which a worker is left out after nothing could be placed on it. */
    public static final Duration AVOIDANCE_DURATION = Duration.ofMillis(250);

    private final HostName name;
    private final HostSlots slots = new HostSlots();
    private final AtomicReference<UpstreamHealth> health = new AtomicReference<>(UpstreamHealth.initial());
    private final AtomicReference<Optional<Long>> avoidedSince = new AtomicReference<>(Optional.empty());

    /** Creates the runtime of a worker that nothing is known of. */
    public HostRuntime(HostName name) {
        this.name = name;
    }

    /** Returns the worker's host. */
    public HostName name() {
        return name;
    }

    /** Returns its slots. */
    public HostSlots slots() {
        return slots;
    }

    /** Returns the newest record of its outcomes. */
    public UpstreamHealth health() {
        return health.get();
    }

    /** Returns how many slots may be in use now. */
    public int usableSlots(long now) {
        if (avoidedSince
                .get()
                .filter(since -> now - since < AVOIDANCE_DURATION.toNanos())
                .isPresent()) {
            return 0;
        }
        return health.get().usableSlots(slots.counts().limit(), now);
    }

    /** Notes the end of an attempt and returns the change. */
    public HealthChange recordOutcome(AttemptOutcome outcome, boolean mayEject, long now) {
        if (outcome == AttemptOutcome.VIEW_OUT_OF_DATE) {
            avoidedSince.set(Optional.of(now));
        }
        UpstreamHealth before = health.get();
        UpstreamHealth after = before.withOutcome(outcome, mayEject, now);
        while (!health.compareAndSet(before, after)) {
            before = health.get();
            after = before.withOutcome(outcome, mayEject, now);
        }
        return new HealthChange(before, after);
    }

    /**
     * A change of the record. Immutable.
     *
     * @param previous the health before the attempt
     * @param current the health after the attempt
     */
    public record HealthChange(UpstreamHealth previous, UpstreamHealth current) {
        /** Tells whether the worker was ejected, or its ejection was extended. */
        public boolean isEjection() {
            return current.isEjected() && current.consecutiveEjections() > previous.consecutiveEjections();
        }

        /** Tells whether the worker came back. */
        public boolean isReturnToService() {
            return previous.isEjected() && !current.isEjected();
        }
    }
}
