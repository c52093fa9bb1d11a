package org.cicadalead.adapters.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.Topic;
import org.cicadalead.support.InMemoryRecordStore;
import org.cicadalead.support.InMemoryRecordStore.Fault;
import org.cicadalead.support.ManualTimerService;
import org.junit.jupiter.api.Test;

class TermAppenderTest {
    private final InMemoryRecordStore store = new InMemoryRecordStore();
    private final ManualTimerService timers = new ManualTimerService();
    private final AtomicInteger supersededCount = new AtomicInteger();

    private TermAppender createAppender(long epoch) {
        return new TermAppender(
                store, List.of(Topic.PROGRESS, Topic.SPARE_PROGRESS), timers, epoch, supersededCount::incrementAndGet);
    }

    private static List<KeyedRecord> createRecords(String text) {
        return List.of(KeyedRecord.of("key", text.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
    }

    private List<String> readStoredValues() {
        return store.snapshot(Topic.PROGRESS).join().records().stream()
                .map(entry -> new String(entry.value().orElseThrow(), java.nio.charset.StandardCharsets.UTF_8))
                .toList();
    }

    @Test
    void rejectsLateAppendOfEarlierTerm() {
        TermAppender earlier = createAppender(1);
        earlier.fence();
        earlier.append(createRecords("old"));
        TermAppender later = createAppender(2);
        assertTrue(later.fence().isDone());
        CompletableFuture<Void> late = earlier.append(createRecords("late"));
        later.append(createRecords("new"));
        assertFalse(late.isDone());
        assertEquals(1, supersededCount.get());
        assertEquals(List.of("new"), readStoredValues());
    }

    @Test
    void storesBatchInSpareTopicWhileFirstTopicIsUnreachable() {
        TermAppender term = createAppender(1);
        term.fence();
        store.silence(Topic.PROGRESS);
        assertTrue(term.append(createRecords("first")).isDone());
        assertTrue(term.append(createRecords("second")).isDone(), "the first topic still waits for its answer");
        assertEquals(
                2,
                store.read(Topic.SPARE_PROGRESS, 0, Duration.ZERO)
                        .join()
                        .records()
                        .size());
    }

    @Test
    void completesFenceOnlyWhenEveryTopicIsFenced() {
        store.silence(Topic.SPARE_PROGRESS);
        assertFalse(createAppender(1).fence().isDone());
    }

    @Test
    void appendsRecordsToAllTopics() {
        TermAppender term = createAppender(1);
        term.fence();
        term.appendToAllTopics(createRecords("value"));
        assertEquals(1, store.snapshot(Topic.PROGRESS).join().records().size());
        assertEquals(1, store.snapshot(Topic.SPARE_PROGRESS).join().records().size());
    }

    @Test
    void retriesUnansweredAppendAndStoresItOnce() {
        TermAppender term =
                new TermAppender(store, List.of(Topic.PROGRESS), timers, 1, supersededCount::incrementAndGet);
        term.fence();
        store.failNext(Fault.ANSWER_LOST, 1);
        CompletableFuture<Void> first = term.append(createRecords("first"));
        CompletableFuture<Void> second = term.append(createRecords("second"));
        assertFalse(first.isDone());
        timers.advance(Duration.ofSeconds(1));
        assertTrue(first.isDone());
        assertTrue(second.isDone());
        assertEquals(
                2, store.read(Topic.PROGRESS, 0, Duration.ZERO).join().records().size());
    }

    @Test
    void retriesRefusedAppend() {
        TermAppender term =
                new TermAppender(store, List.of(Topic.PROGRESS), timers, 1, supersededCount::incrementAndGet);
        term.fence();
        store.failNext(Fault.REFUSED, 3);
        CompletableFuture<Void> append = term.append(createRecords("value"));
        timers.advance(Duration.ofSeconds(2));
        assertTrue(append.isDone());
        assertEquals(List.of("value"), readStoredValues());
    }
}
