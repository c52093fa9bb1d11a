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
        TermAppender earlierTerm = createAppender(1);
        earlierTerm.fence();
        earlierTerm.append(createRecords("old"));
        TermAppender laterTerm = createAppender(2);
        assertTrue(laterTerm.fence().isDone());
        CompletableFuture<Void> lateAppend = earlierTerm.append(createRecords("late"));
        laterTerm.append(createRecords("new"));
        assertFalse(lateAppend.isDone());
        assertEquals(1, supersededCount.get());
        assertEquals(List.of("new"), readStoredValues());
    }

    @Test
    void storesBatchInSpareTopicWhileFirstTopicIsUnreachable() {
        TermAppender appender = createAppender(1);
        appender.fence();
        store.makeUnavailable(Topic.PROGRESS);
        assertTrue(appender.append(createRecords("first")).isDone());
        assertTrue(appender.append(createRecords("second")).isDone(), "the first topic still waits for a response");
        assertEquals(
                2,
                store.read(Topic.SPARE_PROGRESS, 0, Duration.ZERO)
                        .join()
                        .records()
                        .size());
    }

    @Test
    void completesFenceOnlyWhenEveryTopicIsFenced() {
        store.makeUnavailable(Topic.SPARE_PROGRESS);
        assertFalse(createAppender(1).fence().isDone());
    }

    @Test
    void appendsRecordsToAllTopics() {
        TermAppender appender = createAppender(1);
        appender.fence();
        appender.appendToAllTopics(createRecords("value"));
        assertEquals(1, store.snapshot(Topic.PROGRESS).join().records().size());
        assertEquals(1, store.snapshot(Topic.SPARE_PROGRESS).join().records().size());
    }

    @Test
    void retriesUnansweredAppendAndStoresItOnce() {
        TermAppender appender =
                new TermAppender(store, List.of(Topic.PROGRESS), timers, 1, supersededCount::incrementAndGet);
        appender.fence();
        store.failNext(Fault.REPLY_LOST, 1);
        CompletableFuture<Void> first = appender.append(createRecords("first"));
        CompletableFuture<Void> second = appender.append(createRecords("second"));
        assertFalse(first.isDone());
        timers.advance(Duration.ofSeconds(1));
        assertTrue(first.isDone());
        assertTrue(second.isDone());
        assertEquals(
                2, store.read(Topic.PROGRESS, 0, Duration.ZERO).join().records().size());
    }

    @Test
    void retriesRefusedAppend() {
        TermAppender appender =
                new TermAppender(store, List.of(Topic.PROGRESS), timers, 1, supersededCount::incrementAndGet);
        appender.fence();
        store.failNext(Fault.REFUSED, 3);
        CompletableFuture<Void> append = appender.append(createRecords("value"));
        timers.advance(Duration.ofSeconds(2));
        assertTrue(append.isDone());
        assertEquals(List.of("value"), readStoredValues());
    }
}
