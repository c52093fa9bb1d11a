package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.List;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.ReadOutcome;
import org.cicadalead.ports.RecordStore.ReadResult;
import org.cicadalead.ports.RecordStore.Snapshot;
import org.cicadalead.ports.RecordStore.Topic;
import org.cicadalead.ports.TimerService;

/**
 * Follows a topic: reads a snapshot, then every further record once and in order. If the topic no longer has the next
 * record, it reads a snapshot again. A read that a further one has to continue does not count as completed. Calls its
 * listener one call at a time. Goes on after a read that fails, and after records that the listener could not handle.
 * Safe for use by several threads.
 */
final class TopicFollower {
    private static final Duration RETRY_DELAY = Duration.ofMillis(150);

    private final RecordStore store;
    private final Topic topic;
    private final TimerService timers;
    private final DecisionLog log;
    private final Duration maximumReadWait;
    private final Duration readInterval;
    private final Listener listener;
    private volatile boolean closed;

    /**
     * Creates a follower.
     *
     * @param maximumReadWait how long the store may wait for a record before it responds
     * @param readInterval delay between two reads
     */
    TopicFollower(
            RecordStore store,
            Topic topic,
            TimerService timers,
            DecisionLog log,
            Duration maximumReadWait,
            Duration readInterval,
            Listener listener) {
        this.store = store;
        this.topic = topic;
        this.timers = timers;
        this.log = log;
        this.maximumReadWait = maximumReadWait;
        this.readInterval = readInterval;
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
        listener.onReadSent();
        Calls.attempt(() -> store.snapshot(topic))
                .exceptionally(failure -> {
                    logFailure(failure);
                    return new Snapshot(false, List.of(), 0);
                })
                .thenAccept(this::onSnapshotRead);
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
        handle(() -> listener.onSnapshot(snapshot.records()), true);
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
            listener.onReadSent();
            Calls.attempt(() -> store.read(topic, offset, maximumReadWait))
                    .exceptionally(failure -> {
                        logFailure(failure);
                        return new ReadResult(ReadOutcome.FAILED, List.of(), offset);
                    })
                    .thenAccept(result -> onRead(offset, result));
        }
    }

    private void handle(Runnable handling, boolean isEndReached) {
        try {
            handling.run();
            if (isEndReached) {
                listener.onReadApplied();
            }
        } catch (RuntimeException | StackOverflowError failure) {
            logFailure(failure);
        }
    }

    private void logFailure(Throwable failure) {
        log.emit(EventKind.TOPIC_READER_FAILED, EventDetail.of("topic", topic), EventDetail.of("failure", failure));
    }

    private void onRead(long offset, ReadResult result) {
        if (closed) {
            return;
        }
        switch (result.outcome()) {
            case READ -> {
                if (!result.hasFurther()) {
                    listener.onReadCompleted(true);
                }
                handle(
                        () -> {
                            if (!result.records().isEmpty()) {
                                listener.onRecords(result.records());
                            }
                        },
                        !result.hasFurther());
                scheduleRead(result.nextOffset(), result.hasFurther() ? Duration.ZERO : readInterval);
            }
            case TRUNCATED -> readSnapshot();
            default -> {
                listener.onReadCompleted(false);
                scheduleRead(offset, RETRY_DELAY);
            }
        }
    }

    /** Receives the records that are read. Only the methods that handle records may throw. */
    interface Listener {
        /** Handles a snapshot, which has the newest record of every key. */
        void onSnapshot(List<KeyedRecord> records);

        /** Handles further records. */
        void onRecords(List<KeyedRecord> records);

        /** Handles the end of a read, which succeeds if the store has responded up to the end of the topic. */
        default void onReadCompleted(boolean succeeded) {}

        /** Handles the sending of a read; the next one is sent after this one has ended. */
        default void onReadSent() {}

        /** Handles that all records up to the end of the topic have been handled. */
        default void onReadApplied() {}
    }
}
