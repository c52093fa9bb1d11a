package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.ports.RecordStore.AppendOutcome;
import org.cicadalead.ports.RecordStore.AppendResult;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.Topic;
import org.cicadalead.ports.RecordStore.WriterPosition;
import org.cicadalead.ports.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Appends records for one term. The first append only fences earlier terms, so that none of their delayed appends takes
 * effect any more, and reads after it are complete. With several topics, a batch goes to the first topic that is free,
 * and also to the next one if the append gets no response: records of one key may then be in both, in any order. Each
 * topic has one append in flight, which is retried until the store has it or knows a later term. Safe for use by
 * several threads.
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
     * @param topics topics to append to, in the order in which they are tried
     * @param onSuperseded called when the store knows a later term
     */
    TermAppender(RecordStore store, List<Topic> topics, TimerService timers, long epoch, Runnable onSuperseded) {
        this.store = store;
        this.timers = timers;
        this.epoch = epoch;
        this.onSuperseded = onSuperseded;
        topics.forEach(topic -> topicWriters.add(new TopicWriter(topic)));
    }

    /** Fences earlier terms; completes when none of them can write to any topic any more. */
    CompletableFuture<Void> fence() {
        return appendToAllTopics(List.of());
    }

    /** Appends records; completes when they are stored, and never if the store knows a later term. */
    CompletableFuture<Void> append(List<KeyedRecord> records) {
        Batch batch = new Batch(records, topicWriters.size() > 1);
        synchronized (this) {
            pending.add(batch);
        }
        sendNext();
        return batch.stored;
    }

    /** Appends records to every topic; completes when all topics have stored them. */
    CompletableFuture<Void> appendToAllTopics(List<KeyedRecord> records) {
        List<CompletableFuture<Void>> appends = new ArrayList<>();
        for (TopicWriter topicWriter : topicWriters) {
            Batch batch = new Batch(records, false);
            synchronized (this) {
                topicWriter.pending.add(batch);
            }
            appends.add(batch.stored);
        }
        sendNext();
        return CompletableFuture.allOf(appends.toArray(CompletableFuture<?>[]::new));
    }

    void close() {
        closed = true;
    }

    private void sendNext() {
        for (TopicWriter topicWriter : topicWriters) {
            Batch batch;
            synchronized (this) {
                if (topicWriter.inFlight != null) {
                    continue;
                }
                batch = topicWriter.pending.isEmpty() ? pending.poll() : topicWriter.pending.poll();
                topicWriter.inFlight = batch;
            }
            if (batch != null) {
                send(topicWriter, batch);
            }
        }
    }

    private void send(TopicWriter topicWriter, Batch batch) {
        if (!closed) {
            WriterPosition position = new WriterPosition(epoch, topicWriter.sequence);
            Calls.attempt(() -> store.appendFenced(topicWriter.topic, batch.records, position))
                    .exceptionally(failure -> new AppendResult(AppendOutcome.UNKNOWN, -1))
                    .thenAccept(result -> onAppended(topicWriter, batch, result));
        }
    }

    private void onAppended(TopicWriter topicWriter, Batch batch, AppendResult result) {
        switch (result.outcome()) {
            case STORED -> {
                synchronized (this) {
                    topicWriter.sequence++;
                    topicWriter.inFlight = null;
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
                    topicWriter.sequence = result.endOffset();
                }
                timers.after(RETRY_DELAY, () -> send(topicWriter, batch));
            }
            default -> {
                offerToOtherTopics(batch);
                timers.after(RETRY_DELAY, () -> send(topicWriter, batch));
            }
        }
    }

    /** Queues a batch once more for another topic, as its topic may be unavailable for a long time. */
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

    /** A topic with its own append sequence. Guarded by the appender. */
    private static final class TopicWriter {
        private final Topic topic;
        private final Deque<Batch> pending = new ArrayDeque<>();
        private volatile long sequence;

        private @Nullable Batch inFlight;

        TopicWriter(Topic topic) {
            this.topic = topic;
        }
    }

    /** Records that are stored by one append. */
    private static final class Batch {
        private final List<KeyedRecord> records;
        private final CompletableFuture<Void> stored = new CompletableFuture<>();
        private boolean canUseOtherTopic;

        Batch(List<KeyedRecord> records, boolean canUseOtherTopic) {
            this.records = List.copyOf(records);
            this.canUseOtherTopic = canUseOtherTopic;
        }
    }
}
