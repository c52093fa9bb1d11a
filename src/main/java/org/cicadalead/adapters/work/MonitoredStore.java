package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.ports.TimerService;

/**
 * Delegates to a store and tracks whether it is available, so that a request which needs the store can be rejected at
 * once during an outage. Safe for use by several threads.
 */
public final class MonitoredStore implements RecordStore {
    /** Consecutive failures that indicate an outage of the store; a single one may be a lost response. */
    private static final int STORE_FAILURE_THRESHOLD = 2;

    /** Consecutive failures that indicate an outage of one topic; most have a spare, so a needless switch is free. */
    private static final int TOPIC_FAILURE_THRESHOLD = 1;

    /** Time after the last failure for which the store counts as unavailable; reads detect a recovery earlier. */
    private static final long OUTAGE_MILLISECONDS = 2_500;

    private final RecordStore store;
    private final TimerService timers;
    private final WorkMetrics metrics;
    private final PathHealth storeHealth = new PathHealth(STORE_FAILURE_THRESHOLD, OUTAGE_MILLISECONDS);
    private final Map<Topic, PathHealth> healthByTopic = new EnumMap<>(Topic.class);

    /** Monotonic times in nanoseconds of the last successful reads. */
    private final Map<Topic, AtomicLong> lastReads = new ConcurrentHashMap<>();

    /** Creates a store that delegates to the given one. */
    public MonitoredStore(RecordStore store, TimerService timers, WorkMetrics metrics) {
        this.metrics = metrics;
        this.store = store;
        this.timers = timers;
        for (Topic topic : Topic.values()) {
            healthByTopic.put(topic, new PathHealth(TOPIC_FAILURE_THRESHOLD, OUTAGE_MILLISECONDS));
        }
    }

    /** Returns whether the store or the topic has failed its latest calls. */
    public boolean isUnavailable(Topic topic) {
        long now = timers.nanoTime();
        return storeHealth.isUnavailable(now) || healthOf(topic).isUnavailable(now);
    }

    /** Returns whether all topics that store jobs are unavailable to this process. */
    public boolean isUnavailableForJobs() {
        return isUnavailable(Topic.JOBS) && isUnavailable(Topic.SPARE_JOBS);
    }

    private PathHealth healthOf(Topic topic) {
        return Objects.requireNonNull(healthByTopic.get(topic), "the topic has no health record");
    }

    private void recordCall(Topic topic, boolean answered) {
        long now = timers.nanoTime();
        if (answered && storeHealth.isUnavailable(now)) {
            // A topic that failed while nothing else was answered need not be unavailable by itself.
            healthByTopic.values().forEach(PathHealth::forgetFailures);
        }
        storeHealth.recordCall(answered, now);
        healthOf(topic).recordCall(answered, now);
    }

    private void recordRead(Topic topic, boolean succeeded) {
        recordCall(topic, succeeded);
        if (succeeded) {
            lastReads.computeIfAbsent(topic, this::observeLastRead).set(timers.nanoTime());
        }
    }

    private AtomicLong observeLastRead(Topic topic) {
        AtomicLong lastRead = new AtomicLong(timers.nanoTime());
        metrics.observeLastRead(topic, () -> Duration.ofNanos(timers.nanoTime() - lastRead.get()));
        return lastRead;
    }

    @Override
    public CompletableFuture<AppendResult> append(Topic topic, List<KeyedRecord> records, OptionalLong expectedEnd) {
        long sentAt = timers.nanoTime();
        healthOf(topic).recordStart(sentAt);
        return store.append(topic, records, expectedEnd).thenApply(result -> recordAppend(topic, result, sentAt));
    }

    @Override
    public CompletableFuture<AppendResult> appendFenced(
            Topic topic, List<KeyedRecord> records, WriterPosition position) {
        long sentAt = timers.nanoTime();
        return store.appendFenced(topic, records, position).thenApply(result -> recordAppend(topic, result, sentAt));
    }

    private AppendResult recordAppend(Topic topic, AppendResult result, long sentAt) {
        metrics.recordAppend(topic, result.outcome().name(), Duration.ofNanos(timers.nanoTime() - sentAt));
        boolean answered = result.outcome() != AppendOutcome.UNKNOWN && result.outcome() != AppendOutcome.REFUSED;
        recordCall(topic, answered);
        return result;
    }

    @Override
    public CompletableFuture<ReadResult> read(Topic topic, long fromOffset, Duration wait) {
        return store.read(topic, fromOffset, wait).thenApply(result -> {
            recordRead(topic, result.outcome() != ReadOutcome.FAILED);
            return result;
        });
    }

    @Override
    public CompletableFuture<Snapshot> snapshot(Topic topic) {
        return store.snapshot(topic).thenApply(snapshot -> {
            recordRead(topic, snapshot.complete());
            return snapshot;
        });
    }
}
