package org.cicadalead.adapters.work;

import java.util.concurrent.TimeUnit;

/**
 * Tracks by the latest calls whether the other end of a network path responds. After enough failures in a row a path is
 * unavailable until a call gets a response, or until some time has passed since the last failure, so that it is tried
 * again. Safe for use by several threads.
 */
final class PathHealth {
    private final int failureThreshold;
    private final long outageMilliseconds;
    private int consecutiveFailures;
    private long lastFailureNanoTime;
    private long lastAnswerNanoTime;
    private boolean everAnswered;

    /**
     * Creates the health of a path that has not failed yet.
     *
     * @param failureThreshold number of consecutive failures after which the path is unavailable
     * @param outageMilliseconds time after the last failure for which the path stays unavailable
     */
    PathHealth(int failureThreshold, long outageMilliseconds) {
        this.failureThreshold = failureThreshold;
        this.outageMilliseconds = outageMilliseconds;
    }

    synchronized boolean isUnavailable(long nowNanoseconds) {
        return consecutiveFailures >= failureThreshold
                && TimeUnit.NANOSECONDS.toMillis(nowNanoseconds - lastFailureNanoTime) < outageMilliseconds;
    }

    /**
     * Records that a call begins. A path that failed and is tried again is unavailable to later calls until this one
     * gets a response, so that they need not wait for its timeout too.
     */
    synchronized void recordStart(long nowNanoseconds) {
        if (consecutiveFailures >= failureThreshold) {
            lastFailureNanoTime = nowNanoseconds;
        }
    }

    /** Returns whether the newest call got a response, and within the given time before now. */
    synchronized boolean hasAnsweredWithin(long milliseconds, long nowNanoseconds) {
        return everAnswered
                && consecutiveFailures == 0
                && TimeUnit.NANOSECONDS.toMillis(nowNanoseconds - lastAnswerNanoTime) < milliseconds;
    }

    synchronized void recordCall(boolean answered, long nowNanoseconds) {
        if (answered) {
            consecutiveFailures = 0;
            lastAnswerNanoTime = nowNanoseconds;
            everAnswered = true;
        } else {
            consecutiveFailures++;
            lastFailureNanoTime = nowNanoseconds;
        }
    }

    /** Makes the path count as available, although no call of it got a response since it failed. */
    synchronized void forgetFailures() {
        consecutiveFailures = 0;
    }
}
