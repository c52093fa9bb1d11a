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
    private final AtomicInteger superseded = new AtomicInteger();

    private TermAppender term(long epoch) {
        return new TermAppender(
                store, List.of(Topic.PROGRESS, Topic.SPARE_PROGRESS), timers, epoch, superseded::incrementAndGet);
    }

    private static List<KeyedRecord> value(String text) {
        return List.of(KeyedRecord.of("key", text.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
    }

    private List<String> stored() {
        return store.snapshot(Topic.PROGRESS).join().records().stream()
                .map(entry -> new String(entry.value().orElseThrow(), java.nio.charset.StandardCharsets.UTF_8))
                .toList();
    }

    @Test
    void anAppendOfAnEarlierTermThatArrivesLateChangesNothing() {
        TermAppender earlier = term(1);
        earlier.fence();
        earlier.append(value("old"));
        TermAppender later = term(2);
        assertTrue(later.fence().isDone());
        CompletableFuture<Void> late = earlier.append(value("late"));
        later.append(value("new"));
        assertFalse(late.isDone());
        assertEquals(1, superseded.get());
        assertEquals(List.of("new"), stored());
    }

    @Test
    void aBatchGoesToTheSpareTopicWhileTheFirstIsSilent() {
        TermAppender term = term(1);
        term.fence();
        store.silence(Topic.PROGRESS);
        assertTrue(term.append(value("first")).isDone());
        assertTrue(term.append(value("second")).isDone(), "the first topic still waits for its answer");
        assertEquals(
                2,
                store.read(Topic.SPARE_PROGRESS, 0, Duration.ZERO)
                        .join()
                        .records()
                        .size());
    }

    @Test
    void aTermIsKnownOnlyOnceEveryTopicKnowsIt() {
        store.silence(Topic.SPARE_PROGRESS);
        assertFalse(term(1).fence().isDone());
    }

    @Test
    void whatIsDroppedIsDroppedEverywhere() {
        TermAppender term = term(1);
        term.fence();
        term.appendEverywhere(value("value"));
        assertEquals(1, store.snapshot(Topic.PROGRESS).join().records().size());
        assertEquals(1, store.snapshot(Topic.SPARE_PROGRESS).join().records().size());
    }

    @Test
    void anAppendWithoutAnAnswerIsRepeatedAndDoneOnce() {
        TermAppender term = new TermAppender(store, List.of(Topic.PROGRESS), timers, 1, superseded::incrementAndGet);
        term.fence();
        store.failNext(Fault.ANSWER_LOST, 1);
        CompletableFuture<Void> first = term.append(value("first"));
        CompletableFuture<Void> second = term.append(value("second"));
        assertFalse(first.isDone());
        timers.advance(Duration.ofSeconds(1));
        assertTrue(first.isDone());
        assertTrue(second.isDone());
        assertEquals(
                2, store.read(Topic.PROGRESS, 0, Duration.ZERO).join().records().size());
    }

    @Test
    void anAppendThatWasRefusedIsRepeated() {
        TermAppender term = new TermAppender(store, List.of(Topic.PROGRESS), timers, 1, superseded::incrementAndGet);
        term.fence();
        store.failNext(Fault.REFUSED, 3);
        CompletableFuture<Void> append = term.append(value("value"));
        timers.advance(Duration.ofSeconds(2));
        assertTrue(append.isDone());
        assertEquals(List.of("value"), stored());
    }
}
