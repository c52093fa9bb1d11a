package org.cicadalead.adapters.request;

import java.util.concurrent.atomic.AtomicBoolean;

/** A slot that is held for one attempt and released once. Safe for use by several threads. */
final class HeldSlot {
    private final AtomicBoolean held = new AtomicBoolean(true);
    private final Runnable onRelease;

    HeldSlot(Runnable onRelease) {
        this.onRelease = onRelease;
    }

    /** Releases the slot; further calls have no effect. */
    void release() {
        if (held.compareAndSet(true, false)) {
            onRelease.run();
        }
    }
}
