package org.cicadalead.adapters.replica;

import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Whether the state is as new as this process could know when it started. The target is what the log's end or a peer
 * showed first; records that follow later do not move it. A gap, after which older records are known to be missing,
 * closes the gate until it is bridged. Safe for use by several threads.
 */
final class ReadinessGate {
    private static final long NO_TARGET = -1;

    private final AtomicLong target = new AtomicLong(NO_TARGET);
    private volatile boolean gap;

    /** Learns of an offset that exists; the first one that is learned stays the target. */
    void offerTarget(long offset) {
        target.compareAndSet(NO_TARGET, offset);
    }

    /** Learns of an offset that a peer had applied, if there is such a peer. */
    void offerTarget(OptionalLong offset) {
        offset.ifPresent(this::offerTarget);
    }

    /** Marks that records between the state and the log's oldest are missing, or that they no longer are. */
    void setGap(boolean newGap) {
        gap = newGap;
    }

    /** Tells whether records that the state lacks have expired. */
    boolean hasGap() {
        return gap;
    }

    /** Tells whether a state at an offset is new enough to serve on. */
    boolean isOpen(long offset) {
        long known = target.get();
        return !gap && known != NO_TARGET && offset >= known;
    }
}
