package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.ports.TimerService;

/**
 * A store that remembers whether it answers, so that a request which needs it can be refused at once while it does not.
 * Safe for use by several threads.
 */
public final class MonitoredStore implements RecordStore {
    /** Calls in a row without an answer that show an outage; a single one may be a lost answer. */
    private static final int STORE_FAILURE_THRESHOLD = 2;

    /** The same for one topic: there is another one for most purposes, so that a switch in vain costs nothing. */
    private static final int TOPIC_FAILURE_THRESHOLD = 1;

    /** Time after the last failure for which the store counts as out; reads go on and show its return earlier. */
    private static final long OUTAGE_MILLISECONDS = 2_500;

    private final RecordStore store;
    private final TimerService timers;
    private final WorkMetrics metrics;
    private final PathHealth storeHealth = new PathHealth(STORE_FAILURE_THRESHOLD, OUTAGE_MILLISECONDS);
    private final Map<Topic, PathHealth> healthByTopic = new EnumMap<>(Topic.class);

    /** Watches a store. */
    public MonitoredStore(RecordStore store, TimerService timers, WorkMetrics metrics) {
        this.metrics = metrics;
        this.store = store;
        this.timers = timers;
        for (Topic topic : Topic.values()) {
            healthByTopic.put(topic, new PathHealth(TOPIC_FAILURE_THRESHOLD, OUTAGE_MILLISECONDS));
        }
    }

    /** Tells whether the store, or this one topic, has not answered for a while. */
    public boolean isUnavailable(Topic topic) {
        long now = timers.nanoTime();
        return storeHealth.isUnavailable(now) || healthOf(topic).isUnavailable(now);
    }

    /** Tells whether no job can be stored from here. */
    public boolean isUnavailableForJobs() {
        return isUnavailable(Topic.JOBS) && isUnavailable(Topic.SPARE_JOBS);
    }

    private PathHealth healthOf(Topic topic) {
        return Objects.requireNonNull(healthByTopic.get(topic), "every topic is watched");
    }

    private void recordCall(Topic topic, boolean answers) {
        long now = timers.nanoTime();
        storeHealth.recordCall(answers, now);
        healthOf(topic).recordCall(answers, now);
    }

    @Override
    public CompletableFuture<AppendResult> append(Topic topic, List<KeyedRecord> records, OptionalLong expectedEnd) {
        long sentAt = timers.nanoTime();
        return store.append(topic, records, expectedEnd).thenApply(appended -> recordAppend(topic, appended, sentAt));
    }

    @Override
    public CompletableFuture<AppendResult> appendFenced(
            Topic topic, List<KeyedRecord> records, WriterPosition position) {
        long sentAt = timers.nanoTime();
        return store.appendFenced(topic, records, position)
                .thenApply(appended -> recordAppend(topic, appended, sentAt));
    }

    private AppendResult recordAppend(Topic topic, AppendResult appended, long sentAt) {
        metrics.recordAppend(topic, appended.outcome().name(), Duration.ofNanos(timers.nanoTime() - sentAt));
        boolean answers = appended.outcome() != AppendOutcome.UNKNOWN && appended.outcome() != AppendOutcome.REFUSED;
        recordCall(topic, answers);
        return appended;
    }

    @Override
    public CompletableFuture<ReadResult> read(Topic topic, long fromOffset, Duration wait) {
        return store.read(topic, fromOffset, wait).thenApply(slice -> {
            recordCall(topic, slice.outcome() != ReadOutcome.FAILED);
            return slice;
        });
    }

    @Override
    public CompletableFuture<Snapshot> snapshot(Topic topic) {
        return store.snapshot(topic).thenApply(snapshot -> {
            recordCall(topic, snapshot.complete());
            return snapshot;
        });
    }
}
