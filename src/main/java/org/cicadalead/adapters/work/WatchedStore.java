package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.ports.TimerService;

/**
 * A store that remembers whether it answers, so that a request which needs it can be refused at once while it does not.
 * Safe for use by several threads.
 */
public final class WatchedStore implements RecordStore {
    /** Calls in a row without an answer that show an outage; a single one may be a lost answer. */
    private static final int FAILURES_OF_AN_OUTAGE = 2;

    /** Time after the last failure for which the store counts as out; reads go on and show its return earlier. */
    private static final long OUTAGE_MILLISECONDS = 2_500;

    private final RecordStore store;
    private final TimerService timers;
    private final AtomicInteger failures = new AtomicInteger();
    private final AtomicLong lastFailure = new AtomicLong();

    /** Watches a store. */
    public WatchedStore(RecordStore store, TimerService timers) {
        this.store = store;
        this.timers = timers;
    }

    /** Tells whether the store has not answered for a while. */
    public boolean isOut() {
        long since = TimeUnit.NANOSECONDS.toMillis(timers.nanoTime() - lastFailure.get());
        return failures.get() >= FAILURES_OF_AN_OUTAGE && since < OUTAGE_MILLISECONDS;
    }

    @Override
    public CompletableFuture<Appended> append(Topic topic, List<KeyedRecord> records, OptionalLong expectedEnd) {
        return store.append(topic, records, expectedEnd).thenApply(this::watch);
    }

    @Override
    public CompletableFuture<Appended> appendAs(Topic topic, List<KeyedRecord> records, WriterPosition position) {
        return store.appendAs(topic, records, position).thenApply(this::watch);
    }

    private Appended watch(Appended appended) {
        answered(appended.outcome() != AppendOutcome.UNKNOWN && appended.outcome() != AppendOutcome.REFUSED);
        return appended;
    }

    @Override
    public CompletableFuture<Slice> read(Topic topic, long fromOffset, Duration wait) {
        return store.read(topic, fromOffset, wait).thenApply(slice -> {
            answered(slice.outcome() != ReadOutcome.FAILED);
            return slice;
        });
    }

    @Override
    public CompletableFuture<Snapshot> snapshot(Topic topic) {
        return store.snapshot(topic).thenApply(snapshot -> {
            answered(snapshot.complete());
            return snapshot;
        });
    }

    private void answered(boolean answers) {
        if (answers) {
            failures.set(0);
        } else {
            lastFailure.set(timers.nanoTime());
            failures.incrementAndGet();
        }
    }
}
