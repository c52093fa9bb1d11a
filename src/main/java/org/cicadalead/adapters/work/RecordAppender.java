package org.cicadalead.adapters.work;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.ports.RecordStore.AppendOutcome;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.Topic;

/**
 * Appends records to one topic. Records that arrive while an append is in flight are combined into the next append.
 * Safe for use by several threads.
 */
final class RecordAppender {
    private final RecordStore store;
    private final Topic topic;
    private List<KeyedRecord> pending = new ArrayList<>();
    private CompletableFuture<AppendOutcome> pendingOutcome = new CompletableFuture<>();
    private boolean inFlight;

    RecordAppender(RecordStore store, Topic topic) {
        this.store = store;
        this.topic = topic;
    }

    /** Appends records; completes with the outcome of the append that contains them. */
    CompletableFuture<AppendOutcome> append(List<KeyedRecord> records) {
        CompletableFuture<AppendOutcome> outcome;
        synchronized (this) {
            pending.addAll(records);
            outcome = pendingOutcome;
        }
        sendNext();
        return outcome;
    }

    private void sendNext() {
        List<KeyedRecord> batch;
        CompletableFuture<AppendOutcome> outcome;
        synchronized (this) {
            if (inFlight || pending.isEmpty()) {
                return;
            }
            inFlight = true;
            batch = pending;
            outcome = pendingOutcome;
            pending = new ArrayList<>();
            pendingOutcome = new CompletableFuture<>();
        }
        store.append(topic, batch, OptionalLong.empty()).thenAccept(appended -> {
            synchronized (this) {
                inFlight = false;
            }
            outcome.complete(appended.outcome());
            sendNext();
        });
    }
}
