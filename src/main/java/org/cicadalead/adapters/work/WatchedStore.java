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
public final class WatchedStore implements RecordStore {
    /** Calls in a row without an answer that show an outage; a single one may be a lost answer. */
    private static final int FAILURES_OF_AN_OUTAGE = 2;

    /** The same for one topic: there is another one for most purposes, so that a switch in vain costs nothing. */
    private static final int FAILURES_OF_A_TOPIC = 1;

    /** Time after the last failure for which the store counts as out; reads go on and show its return earlier. */
    private static final long OUTAGE_MILLISECONDS = 2_500;

    private final RecordStore store;
    private final TimerService timers;
    private final WorkMetrics metrics;
    private final PathHealth whole = new PathHealth(FAILURES_OF_AN_OUTAGE, OUTAGE_MILLISECONDS);
    private final Map<Topic, PathHealth> topics = new EnumMap<>(Topic.class);

    /** Watches a store. */
    public WatchedStore(RecordStore store, TimerService timers, WorkMetrics metrics) {
        this.metrics = metrics;
        this.store = store;
        this.timers = timers;
        for (Topic topic : Topic.values()) {
            topics.put(topic, new PathHealth(FAILURES_OF_A_TOPIC, OUTAGE_MILLISECONDS));
        }
    }

    /** Tells whether the store, or this one topic, has not answered for a while. */
    public boolean isOut(Topic topic) {
        long now = timers.nanoTime();
        return whole.isOut(now) || topicHealth(topic).isOut(now);
    }

    /** Tells whether no job can be stored from here. */
    public boolean isOutForJobs() {
        return isOut(Topic.JOBS) && isOut(Topic.SPARE_JOBS);
    }

    private PathHealth topicHealth(Topic topic) {
        return Objects.requireNonNull(topics.get(topic), "every topic is watched");
    }

    private void answered(Topic topic, boolean answers) {
        long now = timers.nanoTime();
        whole.answered(answers, now);
        topicHealth(topic).answered(answers, now);
    }

    @Override
    public CompletableFuture<Appended> append(Topic topic, List<KeyedRecord> records, OptionalLong expectedEnd) {
        long sentAt = timers.nanoTime();
        return store.append(topic, records, expectedEnd).thenApply(appended -> watch(topic, appended, sentAt));
    }

    @Override
    public CompletableFuture<Appended> appendAs(Topic topic, List<KeyedRecord> records, WriterPosition position) {
        long sentAt = timers.nanoTime();
        return store.appendAs(topic, records, position).thenApply(appended -> watch(topic, appended, sentAt));
    }

    private Appended watch(Topic topic, Appended appended, long sentAt) {
        metrics.appended(topic, appended.outcome().name(), Duration.ofNanos(timers.nanoTime() - sentAt));
        boolean answers = appended.outcome() != AppendOutcome.UNKNOWN && appended.outcome() != AppendOutcome.REFUSED;
        answered(topic, answers);
        return appended;
    }

    @Override
    public CompletableFuture<Slice> read(Topic topic, long fromOffset, Duration wait) {
        return store.read(topic, fromOffset, wait).thenApply(slice -> {
            answered(topic, slice.outcome() != ReadOutcome.FAILED);
            return slice;
        });
    }

    @Override
    public CompletableFuture<Snapshot> snapshot(Topic topic) {
        return store.snapshot(topic).thenApply(snapshot -> {
            answered(topic, snapshot.complete());
            return snapshot;
        });
    }
}
