package org.cicadalead.adapters.replica;

import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Decides whether the state is new enough to serve requests on. The target is the first offset that the end of the log
 * or a peer showed after the start; later records do not move it. A gap closes the gate as long as records that the
 * state lacks have expired from the log. Safe for use by several threads.
 */
final class ReadinessGate {
    private static final long NO_TARGET = -1;

    private final AtomicLong target = new AtomicLong(NO_TARGET);
    private volatile boolean gap;

    /** Offers an existing offset as the target. The first offset that is offered stays the target. */
    void offerTarget(long offset) {
        target.compareAndSet(NO_TARGET, offset);
    }

    /** Offers the offset that a peer has applied as the target, if there is such a peer. */
    void offerTarget(OptionalLong offset) {
        offset.ifPresent(this::offerTarget);
    }

    /** Sets whether records between the state and the oldest record of the log are missing. */
    void setGap(boolean newGap) {
        gap = newGap;
    }

    /** Returns whether records that the state lacks have expired. */
    boolean hasGap() {
        return gap;
    }

    /** Returns whether a state at an offset is new enough to serve requests on. */
    boolean isOpen(long offset) {
        long targetOffset = target.get();
        return !gap && targetOffset != NO_TARGET && offset >= targetOffset;
    }
}
