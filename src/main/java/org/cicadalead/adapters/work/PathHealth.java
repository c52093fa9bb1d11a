package org.cicadalead.adapters.work;

import java.util.concurrent.TimeUnit;

/**
 * Whether the other end of a path answers, by the last calls. A path that fails is out until a call is answered, or
 * until a while has passed since the last failure, so that it is tried again. Safe for use by several threads.
 */
final class PathHealth {
    private final int failureThreshold;
    private final long outageMilliseconds;
    private int consecutiveFailures;
    private long lastFailureNanoTime;
    private long lastAnswerNanoTime;
    private boolean everAnswered;

    /**
     * Creates the health of a path that has not failed.
     *
     * @param failuresOfAnOutage calls in a row without an answer from which on it is out
     * @param outageMilliseconds time after the last failure for which it stays out
     */
    PathHealth(int failuresOfAnOutage, long outageMilliseconds) {
        this.failureThreshold = failuresOfAnOutage;
        this.outageMilliseconds = outageMilliseconds;
    }

    synchronized boolean isUnavailable(long nanoTime) {
        return consecutiveFailures >= failureThreshold
                && TimeUnit.NANOSECONDS.toMillis(nanoTime - lastFailureNanoTime) < outageMilliseconds;
    }

    /** Tells whether the newest call was answered, and that lately. */
    synchronized boolean hasAnsweredWithin(long milliseconds, long nanoTime) {
        return everAnswered
                && consecutiveFailures == 0
                && TimeUnit.NANOSECONDS.toMillis(nanoTime - lastAnswerNanoTime) < milliseconds;
    }

    synchronized void recordCall(boolean answers, long nanoTime) {
        if (answers) {
            consecutiveFailures = 0;
            lastAnswerNanoTime = nanoTime;
            everAnswered = true;
        } else {
            consecutiveFailures++;
            lastFailureNanoTime = nanoTime;
        }
    }
}
