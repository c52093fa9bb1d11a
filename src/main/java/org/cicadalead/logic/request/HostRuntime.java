package org.cicadalead.logic.request;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.request.AttemptOutcome;

/** What this process knows of one worker from moment to moment. Safe for use by several threads. */
public final class HostRuntime {
    /** Time for which a worker is left out after nothing could be placed on it. */
    public static final Duration AVOIDANCE = Duration.ofMillis(250);

    private final HostName name;
    private final HostSlots slots = new HostSlots();
    private final AtomicReference<HostRecord> record = new AtomicReference<>(HostRecord.unknown());
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
    public HostRecord record() {
        return record.get();
    }

    /** Returns how many slots may be in use now. */
    public int slotsNow(long now) {
        if (avoidedSince
                .get()
                .filter(since -> now - since < AVOIDANCE.toNanos())
                .isPresent()) {
            return 0;
        }
        return record.get().slotsNow(slots.counts().limit(), now);
    }

    /** Notes the end of an attempt and returns the change. */
    public Change note(AttemptOutcome outcome, boolean mayEject, long now) {
        if (outcome == AttemptOutcome.VIEW_OUT_OF_DATE) {
            avoidedSince.set(Optional.of(now));
        }
        HostRecord before = record.get();
        HostRecord after = before.after(outcome, mayEject, now);
        while (!record.compareAndSet(before, after)) {
            before = record.get();
            after = before.after(outcome, mayEject, now);
        }
        return new Change(before, after);
    }

    /**
     * A change of the record. Immutable.
     *
     * @param before the record before
     * @param after the record after
     */
    public record Change(HostRecord before, HostRecord after) {
        /** Tells whether the worker was ejected, or its ejection was extended. */
        public boolean isEjection() {
            return after.isEjected() && after.ejections() > before.ejections();
        }

        /** Tells whether the worker came back. */
        public boolean isReturn() {
            return before.isEjected() && !after.isEjected();
        }
    }
}
