package org.cicadalead.ports;

import java.time.Duration;

/**
 * Supplies clocks and timers. Tests advance the time manually; programs use the monotonic clock. Implementations are
 * safe for use by several threads; callbacks must not block.
 */
public interface TimerService {
    /** Returns monotonic time in nanoseconds; only differences are meaningful. */
    long nanoTime();

    /** Returns the wall clock in milliseconds since 1970, for display only. */
    long wallClockMilliseconds();

    /** Calls the callback once after a delay. */
    Subscription after(Duration delay, Runnable callback);

    /** Calls the callback periodically, for the first time after one period. */
    Subscription every(Duration period, Runnable callback);

    /** A timer that can be cancelled. */
    interface Subscription extends AutoCloseable {
        /** Cancels the timer; a callback that has started is not interrupted. */
        @Override
        void close();
    }
}
