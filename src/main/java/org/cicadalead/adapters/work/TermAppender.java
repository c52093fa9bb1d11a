package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.ports.RecordStore.AppendResult;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.Topic;
import org.cicadalead.ports.RecordStore.WriterPosition;
import org.cicadalead.ports.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Appends records for one term. The first append only makes the term known to the store, so that nothing of an earlier
 * term is written any more, however late; what is read after that is complete. Where there are several topics, a batch
 * goes to the first that is free, and also to the next one when it gets no answer there: records of one key may then be
 * in both, in any order. One append is on its way a topic, and is repeated there until the store has it or knows a
 * later term. Safe for use by several threads.
 */
final class TermAppender {
    private static final Duration RETRY_DELAY = Duration.ofMillis(150);

    private final RecordStore store;
    private final TimerService timers;
    private final long epoch;
    private final Runnable onSuperseded;
    private final List<TopicWriter> topicWriters = new ArrayList<>();
    private final Deque<Batch> pending = new ArrayDeque<>();
    private volatile boolean closed;

    /**
     * Creates an appender.
     *
     * @param topics where records go, in the order in which topics are tried
     * @param superseded called when the store knows a later term
     */
    TermAppender(RecordStore store, List<Topic> topics, TimerService timers, long epoch, Runnable superseded) {
        this.store = store;
        this.timers = timers;
        this.epoch = epoch;
        this.onSuperseded = superseded;
        topics.forEach(topic -> topicWriters.add(new TopicWriter(topic)));
    }

    /** Makes the term known; completes when nothing of an earlier term can be written any more. */
    CompletableFuture<Void> fence() {
        return appendToAllTopics(List.of());
    }

    /** Appends records; completes when they are stored, and never if a later term is known. */
    CompletableFuture<Void> append(List<KeyedRecord> records) {
        Batch batch = new Batch(records, topicWriters.size() > 1);
        synchronized (this) {
            pending.add(batch);
        }
        sendNext();
        return batch.stored;
    }

    /** Appends records to every topic; completes when all have them. */
    CompletableFuture<Void> appendToAllTopics(List<KeyedRecord> records) {
        List<CompletableFuture<Void>> all = new ArrayList<>();
        for (TopicWriter lane : topicWriters) {
            Batch batch = new Batch(records, false);
            synchronized (this) {
                lane.pending.add(batch);
            }
            all.add(batch.stored);
        }
        sendNext();
        return CompletableFuture.allOf(all.toArray(CompletableFuture<?>[]::new));
    }

    void close() {
        closed = true;
    }

    private void sendNext() {
        for (TopicWriter lane : topicWriters) {
            Batch next;
            synchronized (this) {
                if (lane.inFlight != null) {
                    continue;
                }
                next = lane.pending.isEmpty() ? pending.poll() : lane.pending.poll();
                lane.inFlight = next;
            }
            if (next != null) {
                send(lane, next);
            }
        }
    }

    private void send(TopicWriter lane, Batch batch) {
        if (!closed) {
            store.appendFenced(lane.topic, batch.records, new WriterPosition(epoch, lane.sequence))
                    .thenAccept(appended -> onAppended(lane, batch, appended));
        }
    }

    private void onAppended(TopicWriter lane, Batch batch, AppendResult appended) {
        switch (appended.outcome()) {
            case STORED -> {
                synchronized (this) {
                    lane.sequence++;
                    lane.inFlight = null;
                }
                batch.stored.complete(null);
                sendNext();
            }
            case FENCED -> {
                closed = true;
                onSuperseded.run();
            }
            case OUT_OF_SEQUENCE -> {
                synchronized (this) {
                    lane.sequence = appended.endOffset();
                }
                timers.after(RETRY_DELAY, () -> send(lane, batch));
            }
            default -> {
                offerToOtherTopics(batch);
                timers.after(RETRY_DELAY, () -> send(lane, batch));
            }
        }
    }

    /** The topic may be silent for long, so another one gets the batch as well, once. */
    private void offerToOtherTopics(Batch batch) {
        synchronized (this) {
            if (!batch.canUseOtherTopic) {
                return;
            }
            batch.canUseOtherTopic = false;
            pending.addFirst(batch);
        }
        sendNext();
    }

    /** A topic with its own sequence. Guarded by the appender. */
    private static final class TopicWriter {
        private final Topic topic;
        private final Deque<Batch> pending = new ArrayDeque<>();
        private volatile long sequence;

        private @Nullable Batch inFlight;

        TopicWriter(Topic topic) {
            this.topic = topic;
        }
    }

    /** Records that are stored together. */
    private static final class Batch {
        private final List<KeyedRecord> records;
        private final CompletableFuture<Void> stored = new CompletableFuture<>();
        private boolean canUseOtherTopic;

        Batch(List<KeyedRecord> records, boolean mayGoElsewhere) {
            this.records = List.copyOf(records);
            this.canUseOtherTopic = mayGoElsewhere;
        }
    }
}
