package org.cicadalead.adapters.standin;

import java.util.concurrent.atomic.AtomicInteger;

/** What the stand-in really ran for one job. Safe for use by several threads. */
public final class JobExecutionCounts {
    private final AtomicInteger starts = new AtomicInteger();
    private final AtomicInteger finishes = new AtomicInteger();
    private final AtomicInteger startsAfterFinish = new AtomicInteger();
    private final AtomicInteger maximumConcurrent = new AtomicInteger();

    void recordStart(int runningNow) {
        starts.incrementAndGet();
        maximumConcurrent.accumulateAndGet(runningNow, Math::max);
        if (finishes.get() > 0) {
            startsAfterFinish.incrementAndGet();
        }
    }

    void recordFinish() {
        finishes.incrementAndGet();
    }

    /** Returns the number of tasks that were started. */
    public int starts() {
        return starts.get();
    }

    /** Returns the number of tasks that came to their end. */
    public int finishes() {
        return finishes.get();
    }

    /** Returns the number of tasks that were started after one had come to its end. */
    public int startsAfterFinish() {
        return startsAfterFinish.get();
    }

    /** Returns the largest number of tasks that ran at once. */
    public int maximumConcurrent() {
        return maximumConcurrent.get();
    }
}
