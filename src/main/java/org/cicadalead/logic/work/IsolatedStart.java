package org.cicadalead.logic.work;

import org.jspecify.annotations.Nullable;

/**
 * A start of a task that is suspected to crash its host: from the choice of the host, which gets no other start
 * meanwhile, until the host is known to have outlived it. Not thread-safe.
 */
final class IsolatedStart {
    final WorkTask task;
    final WorkHost host;
    final long reservedAt;
    /** Whether the host has to be free of other runs, and gets no other one before it has outlived the start. */
    final boolean needsOwnHost;

    /**
     * Number of the change of the job's progress that has to be stored before the start; 0 before the host is ready.
     */
    long change;

    /** The run; null before it is ordered. */
    @Nullable WorkRun run;

    IsolatedStart(WorkTask task, WorkHost host, boolean needsOwnHost, long now) {
        this.task = task;
        this.host = host;
        this.needsOwnHost = needsOwnHost;
        this.reservedAt = now;
    }

    /** Records the run that was ordered. */
    void onOrdered(WorkRun ordered) {
        run = ordered;
        if (needsOwnHost) {
            ordered.expectCrash();
        }
    }

    /** Returns whether a run is the one that started without others beside it. */
    boolean isOf(WorkRun other) {
        return run == other;
    }
}
