package org.cicadalead.adapters.standin;

import java.util.concurrent.atomic.AtomicInteger;

/** Counts the tasks that the stand-in executed for one job. Safe for use by several threads. */
public final class JobExecutionCounts {
    private final AtomicInteger starts = new AtomicInteger();
    private final AtomicInteger finishes = new AtomicInteger();
    private final AtomicInteger startsAfterFinish = new AtomicInteger();
    private final AtomicInteger maximumConcurrent = new AtomicInteger();

    void recordStart(int runningCount) {
        starts.incrementAndGet();
        maximumConcurrent.accumulateAndGet(runningCount, Math::max);
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

    /** Returns the number of tasks that finished. */
    public int finishes() {
        return finishes.get();
    }

    /** Returns the number of tasks that were started after another task of the job had finished. */
    public int startsAfterFinish() {
        return startsAfterFinish.get();
    }

    /** Returns the maximum number of tasks that ran at the same time. */
    public int maximumConcurrent() {
        return maximumConcurrent.get();
    }
}
