package org.cicadalead.crash;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;

/** Waiting for processes outside this one; verdicts never depend on its length. */
final class Polling {
    private static final Duration PERIOD = Duration.ofMillis(20);

    private Polling() {}

    static void pause() {
        LockSupport.parkNanos(PERIOD.toNanos());
    }
}
