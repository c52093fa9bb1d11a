package org.cicadalead.crash;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;

/** Waits between polls of child processes; the results of tests never depend on the length of the pause. */
final class Polling {
    private static final Duration PERIOD = Duration.ofMillis(20);

    private Polling() {}

    static void pause() {
        LockSupport.parkNanos(PERIOD.toNanos());
    }
}
