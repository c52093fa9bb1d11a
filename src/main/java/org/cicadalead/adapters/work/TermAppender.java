package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.ports.RecordStore.Appended;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.Topic;
import org.cicadalead.ports.RecordStore.WriterPosition;
import org.cicadalead.ports.TimerService;

/**
 * Appends records for one term. The first append only makes the term known to the store, so that nothing of an earlier
 * term is written any more, however late; what is read after that is complete. One append is on its way at a time, and
 * is repeated until the store has it or knows a later term. Safe for use by several threads.
 */
final class TermAppender {
    private static final Duration RETRY = Duration.ofMillis(150);

    private final RecordStore store;
    private final Topic topic;
    private final TimerService timers;
    private final long epoch;
    private final Runnable superseded;
    private final Deque<Batch> waiting = new ArrayDeque<>();
    private long sequence;
    private boolean inFlight;
    private volatile boolean closed;

    /**
     * Creates an appender.
     *
     * @param superseded called when the store knows a later term
     */
    TermAppender(RecordStore store, Topic topic, TimerService timers, long epoch, Runnable superseded) {
        this.store = store;
        this.topic = topic;
        this.timers = timers;
        this.epoch = epoch;
        this.superseded = superseded;
    }

    /** Makes the term known; completes when nothing of an earlier term can be written any more. */
    CompletableFuture<Void> fence() {
        return append(List.of());
    }

    /** Appends records; completes when they are stored, and never if a later term is known. */
    CompletableFuture<Void> append(List<KeyedRecord> records) {
        Batch batch = new Batch(List.copyOf(records), new CompletableFuture<>());
        synchronized (this) {
            waiting.add(batch);
        }
        sendNext();
        return batch.stored();
    }

    void close() {
        closed = true;
    }

    private void sendNext() {
        Batch batch;
        synchronized (this) {
            batch = waiting.peek();
            if (inFlight || batch == null) {
                return;
            }
            inFlight = true;
        }
        send(batch);
    }

    private void send(Batch batch) {
        if (!closed) {
            store.appendAs(topic, batch.records(), new WriterPosition(epoch, sequence))
                    .thenAccept(appended -> answered(batch, appended));
        }
    }

    private void answered(Batch batch, Appended appended) {
        switch (appended.outcome()) {
            case STORED -> {
                synchronized (this) {
                    waiting.remove();
                    sequence++;
                    inFlight = false;
                }
                batch.stored().complete(null);
                sendNext();
            }
            case FENCED -> {
                closed = true;
                superseded.run();
            }
            case OUT_OF_SEQUENCE -> {
                synchronized (this) {
                    sequence = appended.endOffset();
                }
                timers.after(RETRY, () -> send(batch));
            }
            default -> timers.after(RETRY, () -> send(batch));
        }
    }

    private record Batch(List<KeyedRecord> records, CompletableFuture<Void> stored) {}
}
