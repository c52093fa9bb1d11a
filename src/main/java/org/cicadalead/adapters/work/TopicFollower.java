package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.List;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.Slice;
import org.cicadalead.ports.RecordStore.Snapshot;
import org.cicadalead.ports.RecordStore.Topic;
import org.cicadalead.ports.TimerService;

/**
 * Follows a topic: first a snapshot, then every record once, in order; after a gap in the history a snapshot again.
 * Calls back one call at a time. Safe for use by several threads.
 */
final class TopicFollower {
    private static final Duration RETRY = Duration.ofMillis(150);

    private final RecordStore store;
    private final Topic topic;
    private final TimerService timers;
    private final Duration wait;
    private final Duration pause;
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
        this.wait = wait;
        this.pause = pause;
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
        store.snapshot(topic).thenAccept(this::takeSnapshot);
    }

    private void takeSnapshot(Snapshot snapshot) {
        if (closed) {
            return;
        }
        if (!snapshot.complete()) {
            listener.answered(false);
            timers.after(RETRY, this::readSnapshot);
            return;
        }
        listener.answered(true);
        listener.snapshot(snapshot.records());
        readOn(snapshot.nextOffset(), pause);
    }

    private void readOn(long offset, Duration delay) {
        if (delay.isZero()) {
            read(offset);
        } else {
            timers.after(delay, () -> read(offset));
        }
    }

    private void read(long offset) {
        if (!closed) {
            store.read(topic, offset, wait).thenAccept(slice -> take(offset, slice));
        }
    }

    private void take(long offset, Slice slice) {
        if (closed) {
            return;
        }
        switch (slice.outcome()) {
            case READ -> {
                listener.answered(true);
                if (!slice.records().isEmpty()) {
                    listener.records(slice.records());
                }
                readOn(slice.nextOffset(), pause);
            }
            case TRUNCATED -> readSnapshot();
            default -> {
                listener.answered(false);
                readOn(offset, RETRY);
            }
        }
    }

    /** Takes what is read. */
    interface Listener {
        /** The newest record of every key. */
        void snapshot(List<KeyedRecord> records);

        /** Further records. */
        void records(List<KeyedRecord> records);

        /** Whether the store answered a read. */
        default void answered(boolean answers) {}
    }
}
