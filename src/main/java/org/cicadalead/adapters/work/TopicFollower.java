package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.List;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.ReadResult;
import org.cicadalead.ports.RecordStore.Snapshot;
import org.cicadalead.ports.RecordStore.Topic;
import org.cicadalead.ports.TimerService;

/**
 * Follows a topic: first a snapshot, then every record once, in order; after a gap in the history a snapshot again.
 * Calls back one call at a time. Safe for use by several threads.
 */
final class TopicFollower {
    private static final Duration RETRY_DELAY = Duration.ofMillis(150);

    private final RecordStore store;
    private final Topic topic;
    private final TimerService timers;
    private final Duration maxReadWait;
    private final Duration readInterval;
    private final Listener listener;
    private volatile boolean closed;

    /**
     * Creates a follower.
     *
     * @param wait how long the store may wait for a record before it answers
     * @param pause time between two reads
     */
    TopicFollower(
            RecordStore store, Topic topic, TimerService timers, Duration wait, Duration pause, Listener listener) {
        this.store = store;
        this.topic = topic;
        this.timers = timers;
        this.maxReadWait = wait;
        this.readInterval = pause;
        this.listener = listener;
    }

    void start() {
        readSnapshot();
    }

    void close() {
        closed = true;
    }

    private void readSnapshot() {
        if (closed) {
            return;
        }
        store.snapshot(topic).thenAccept(this::onSnapshotRead);
    }

    private void onSnapshotRead(Snapshot snapshot) {
        if (closed) {
            return;
        }
        if (!snapshot.complete()) {
            listener.onReadCompleted(false);
            timers.after(RETRY_DELAY, this::readSnapshot);
            return;
        }
        listener.onReadCompleted(true);
        listener.onSnapshot(snapshot.records());
        scheduleRead(snapshot.nextOffset(), readInterval);
    }

    private void scheduleRead(long offset, Duration delay) {
        if (delay.isZero()) {
            read(offset);
        } else {
            timers.after(delay, () -> read(offset));
        }
    }

    private void read(long offset) {
        if (!closed) {
            store.read(topic, offset, maxReadWait).thenAccept(slice -> onSliceRead(offset, slice));
        }
    }

    private void onSliceRead(long offset, ReadResult slice) {
        if (closed) {
            return;
        }
        switch (slice.outcome()) {
            case READ -> {
                listener.onReadCompleted(true);
                if (!slice.records().isEmpty()) {
                    listener.onRecords(slice.records());
                }
                scheduleRead(slice.nextOffset(), readInterval);
            }
            case TRUNCATED -> readSnapshot();
            default -> {
                listener.onReadCompleted(false);
                scheduleRead(offset, RETRY_DELAY);
            }
        }
    }

    /** Takes what is read. */
    interface Listener {
        /** The newest record of every key. */
        void onSnapshot(List<KeyedRecord> records);

        /** Further records. */
        void onRecords(List<KeyedRecord> records);

        /** Whether the store answered a read. */
        default void onReadCompleted(boolean answers) {}
    }
}
