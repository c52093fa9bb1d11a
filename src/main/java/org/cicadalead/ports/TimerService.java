package org.cicadalead.ports;

import java.time.Duration;

/**
 * Time, to which parts subscribe. Tests drive it by hand; programs run on the monotonic clock. Implementations are safe
 * for use by several threads; callbacks must not block.
 */
public interface TimerService {
    /** Returns monotonic time in nanoseconds; only differences have a meaning. */
    long nanoTime();

    /** Returns the wall clock in milliseconds since 1970, for display only. */
    long wallClockMilliseconds();

    /** Calls back once after a delay. */
    Subscription after(Duration delay, Runnable callback);

    /** Calls back again and again, the first time after one period. */
    Subscription every(Duration period, Runnable callback);

    /** A subscription that can be ended. */
    interface Subscription extends AutoCloseable {
        /** Ends the subscription; a callback that has started is not interrupted. */
        @Override
        void close();
    }
}
