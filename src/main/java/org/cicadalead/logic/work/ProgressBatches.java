package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cicadalead.model.work.WorkPhase;
import org.cicadalead.model.work.WorkProgress;

/**
 * Groups progress records into batches, with one batch in flight. The ends that a batch covers are acknowledged to
 * their hosts only after it is stored. Not thread-safe.
 */
final class ProgressBatches {
    /** Pause after a batch could not be stored. */
    private static final long RETRY_MILLISECONDS = 150;

    /** Minimum time between two batches: calls to the store are costly, and an end waits half of this on average. */
    private static final long MIN_BATCH_INTERVAL_MILLISECONDS = 50;

    /**
     * Limit that keeps the versions of a term below those of the next. At the minimum interval it suffices for a term
     * of 600 days.
     */
    private static final long MAX_BATCHES_PER_TERM = 1L << 30;

    private final WorkState state;
    private long lastBatchAt = Long.MIN_VALUE / 2;
    private long lastBatch;
    private boolean inFlight;
    private long retryAt = Long.MIN_VALUE;
    private boolean failed;
    private final Map<WorkHost, EndPosition> coveredEnds = new HashMap<>();
    private final Map<WorkJob, WorkPhase> writtenPhases = new HashMap<>();
    private final Map<WorkJob, Long> writtenChanges = new HashMap<>();

    ProgressBatches(WorkState state) {
        this.state = state;
    }

    /** Creates the next batch; empty when there is nothing to write, a batch is in flight or the pause is not over. */
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
                coveredEnds.put(host, new EndPosition(host.processStartMilliseconds, host.highestEndNumber));
            }
        }
        long version = state.epoch * MAX_BATCHES_PER_TERM + lastBatch;
        List<WorkProgress> records = new ArrayList<>();
        for (WorkJob job : state.unsavedJobs) {
            writtenPhases.put(job, job.phase);
            writtenChanges.put(job, job.changes);
            records.add(job.createProgress(version));
        }
        state.unsavedJobs.clear();
        if (records.isEmpty()) {
            confirmBatch();
            return Optional.empty();
        }
        inFlight = true;
        lastBatchAt = now;
        lastBatch++;
        return Optional.of(new WorkOrder.Persist(lastBatch, records));
    }

    /** Records whether a batch was stored. */
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
        state.unsavedJobs.addAll(writtenPhases.keySet());
        writtenPhases.clear();
        writtenChanges.clear();
        coveredEnds.clear();
    }

    private void confirmBatch() {
        coveredEnds.forEach((host, position) -> {
            if (host.processStartMilliseconds == position.processStartMilliseconds()) {
                host.acknowledgedEndNumber = Math.max(host.acknowledgedEndNumber, position.number());
            }
        });
        writtenPhases.forEach((job, phase) -> job.durablePhase = phase);
        writtenChanges.forEach((job, changes) -> job.storedChanges = changes);
        writtenChanges.clear();
        coveredEnds.clear();
        writtenPhases.clear();
    }

    private record EndPosition(long processStartMilliseconds, long number) {}
}
