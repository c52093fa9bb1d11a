package org.cicadalead.adapters.work;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.ports.RecordStore.AppendOutcome;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.Topic;

/**
 * Appends records to one topic. An append that fails unexpectedly has an unknown outcome. Records that arrive while an
 * append is in flight are combined into the next append. Safe for use by several threads.
 */
final class RecordAppender {
    /** Maximum size of the records of one append, unless a single batch is larger: half of the platform's limit. */
    private static final int MAX_APPEND_BYTES = 1 << 20;

    private final RecordStore store;
    private final Topic topic;
    private final Deque<Batch> pending = new ArrayDeque<>();
    private boolean inFlight;

    RecordAppender(RecordStore store, Topic topic) {
        this.store = store;
        this.topic = topic;
    }

    /** Appends records; completes with the outcome of the append that contains them. */
    CompletableFuture<AppendOutcome> append(List<KeyedRecord> records) {
        return add(new Batch(records, false)).outcome;
    }

    /**
     * Appends records that have another way to the store. If the append before them gets no response, they are not
     * sent, so that they are known not to be stored by this way.
     */
    Batch offer(List<KeyedRecord> records) {
        return add(new Batch(records, true));
    }

    private Batch add(Batch batch) {
        synchronized (this) {
            pending.add(batch);
        }
        sendNext();
        return batch;
    }

    private void sendNext() {
        List<Batch> batches = new ArrayList<>();
        List<KeyedRecord> records = new ArrayList<>();
        synchronized (this) {
            if (inFlight || pending.isEmpty()) {
                return;
            }
            inFlight = true;
            int bytes = 0;
            while (!pending.isEmpty() && (batches.isEmpty() || bytes + pending.peek().bytes <= MAX_APPEND_BYTES)) {
                Batch batch = pending.remove();
                bytes += batch.bytes;
                batches.add(batch);
                records.addAll(batch.records);
            }
        }
        Calls.attempt(() -> store.append(topic, records, OptionalLong.empty()))
                .handle((appended, failure) -> failure == null ? appended.outcome() : AppendOutcome.UNKNOWN)
                .thenAccept(outcome -> {
                    List<Batch> unsent = onAppended(outcome);
                    batches.forEach(batch -> batch.outcome.complete(outcome));
                    unsent.forEach(batch -> batch.outcome.complete(AppendOutcome.REFUSED));
                    sendNext();
                });
    }

    /** Ends the append in flight and returns the batches that are not sent because it got no response. */
    private synchronized List<Batch> onAppended(AppendOutcome outcome) {
        inFlight = false;
        if (outcome != AppendOutcome.UNKNOWN) {
            return List.of();
        }
        List<Batch> unsent = pending.stream().filter(batch -> batch.hasOtherWay).toList();
        pending.removeAll(unsent);
        return unsent;
    }

    /** Records that are appended together. */
    final class Batch {
        private final List<KeyedRecord> records;
        private final boolean hasOtherWay;
        private final int bytes;
        private final CompletableFuture<AppendOutcome> outcome = new CompletableFuture<>();

        private Batch(List<KeyedRecord> records, boolean hasOtherWay) {
            this.records = List.copyOf(records);
            this.hasOtherWay = hasOtherWay;
            this.bytes = records.stream()
                    .mapToInt(entry -> entry.key().length()
                            + entry.value().map(value -> value.length).orElse(0))
                    .sum();
        }

        /** Completes with the outcome of the append; refused if the records were not sent. */
        CompletableFuture<AppendOutcome> outcome() {
            return outcome;
        }

        /** Keeps the records from being sent if that has not happened yet; their outcome then is refused. */
        void withdraw() {
            boolean isUnsent;
            synchronized (RecordAppender.this) {
                isUnsent = pending.remove(this);
            }
            if (isUnsent) {
                outcome.complete(AppendOutcome.REFUSED);
            }
        }
    }
}
