package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cicadalead.model.work.WorkPhase;
import org.cicadalead.model.work.WorkProgress;

/**
 * Groups progress into batches, one at a time. The ends that a batch covers are acknowledged only after it is in the
 * store. For use by one thread.
 */
final class ProgressBatches {
    /** Pause after a batch that was not stored. */
    private static final long RETRY_MILLISECONDS = 150;

    /** Least time between two batches: calls to the store cost, and an end waits half of this on average. */
    private static final long MIN_BATCH_INTERVAL_MILLISECONDS = 50;

    /** Versions of one term lie below those of the next: at the least time between batches, a term of 600 days. */
    private static final long MAX_BATCHES_PER_TERM = 1L << 30;

    private final WorkState state;
    private long lastBatchAt = Long.MIN_VALUE / 2;
    private long lastBatch;
    private boolean inFlight;
    private long retryAt = Long.MIN_VALUE;
    private boolean failed;
    private final Map<WorkHost, EndPosition> covered = new HashMap<>();
    private final Map<WorkJob, WorkPhase> written = new HashMap<>();

    ProgressBatches(WorkState state) {
        this.state = state;
    }

    /** Returns the next batch, unless there is nothing to write or one is on its way. */
    Optional<WorkOrder> createNextBatch(long now) {
        if (failed) {
            failed = false;
            retryAt = now + RETRY_MILLISECONDS;
        }
        if (inFlight || now < retryAt || now - lastBatchAt < MIN_BATCH_INTERVAL_MILLISECONDS) {
            return Optional.empty();
        }
        for (WorkHost host : state.hosts.values()) {
            if (host.highestEndNumber > host.acknowledgedEndNumber) {
                covered.put(host, new EndPosition(host.processStartMilliseconds, host.highestEndNumber));
            }
        }
        long version = state.epoch * MAX_BATCHES_PER_TERM + lastBatch;
        List<WorkProgress> records = new ArrayList<>();
        for (WorkJob job : state.jobs.values()) {
            if (job.dirty) {
                job.dirty = false;
                written.put(job, job.phase);
                records.add(job.createProgress(version));
            }
        }
        if (records.isEmpty()) {
            confirmBatch();
            return Optional.empty();
        }
        inFlight = true;
        lastBatchAt = now;
        lastBatch++;
        return Optional.of(new WorkOrder.Persist(lastBatch, records));
    }

    /** Takes whether a batch is in the store. */
    void onBatchResult(long batch, boolean stored) {
        if (batch != lastBatch || !inFlight) {
            return;
        }
        inFlight = false;
        if (stored) {
            confirmBatch();
            return;
        }
        failed = true;
        written.keySet().forEach(job -> job.dirty = true);
        written.clear();
        covered.clear();
    }

    private void confirmBatch() {
        covered.forEach((host, position) -> {
            if (host.processStartMilliseconds == position.processStartMilliseconds()) {
                host.acknowledgedEndNumber = Math.max(host.acknowledgedEndNumber, position.number());
            }
        });
        written.forEach((job, phase) -> job.durablePhase = phase);
        covered.clear();
        written.clear();
    }

    private record EndPosition(long processStartMilliseconds, long number) {}
}
