package org.cicadalead.adapters.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.support.InMemoryRecordStore;
import org.cicadalead.support.ManualTimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class JobsFeedTest {
    private final InMemoryRecordStore store = new InMemoryRecordStore();
    private final ManualTimerService timers = new ManualTimerService();
    private final List<String> loaded = new ArrayList<>();
    private final List<String> laterRecords = new ArrayList<>();
    private final SlowStore slowStore = new SlowStore(store);
    private final DecisionLog log =
            new DecisionLog(OutputStream.nullOutputStream(), "process", new WorkMetrics(new SimpleMeterRegistry()));
    private final JobsFeed feed = new JobsFeed(slowStore, timers, log, new JobsFeed.Listener() {
        @Override
        public void onLoaded(List<RecordStore.KeyedRecord> records) {
            records.forEach(stored -> loaded.add(stored.key()));
        }

        @Override
        public void onRecords(List<RecordStore.KeyedRecord> records) {
            records.forEach(stored -> laterRecords.add(stored.key()));
        }
    });

    @AfterEach
    void closeLog() {
        log.close();
    }

    private void store(RecordStore.Topic topic, String key) {
        store.append(topic, List.of(RecordStore.KeyedRecord.of(key, new byte[] {1})), OptionalLong.empty());
    }

    @Test
    void loadsJobsOfAllTopicsTogether() {
        store(RecordStore.Topic.JOBS, "first");
        store(RecordStore.Topic.SPARE_JOBS, "second");
        feed.start();
        assertEquals(List.of("first", "second"), loaded.stream().sorted().toList());
        assertEquals(List.of(), laterRecords);
    }

    @Test
    void reportsReadTimeOfUnreachableTopic() {
        store.makeUnavailable(RecordStore.Topic.SPARE_JOBS);
        feed.start();
        assertEquals(List.of(), loaded, "jobs of the unreachable topic are missing");
        assertTrue(feed.lastReadNanoTime() < 0, "the unreachable topic was never read");
    }

    @Test
    void keepsRecordsReadBeforeOtherTopicIsLoaded() {
        store(RecordStore.Topic.JOBS, "snapshot");
        slowStore.delaySnapshotOf(RecordStore.Topic.SPARE_JOBS);
        feed.start();
        store(RecordStore.Topic.JOBS, "later");
        slowStore.answerReads();
        assertEquals(List.of(), loaded);
        slowStore.answerSnapshot();
        assertEquals(List.of("later", "snapshot"), loaded.stream().sorted().toList());
        assertEquals(List.of(), laterRecords);
    }

    /** Guards against "no such job" about an accepted job whose record is beyond what one reply of the store holds. */
    @Test
    void countsNoTopicAsReadWhoseFurtherRecordsAreMissing() {
        slowStore.limitRecordsPerRead(1);
        feed.start();
        long loadedAt = feed.lastReadNanoTime();
        timers.advance(Duration.ofSeconds(3));
        store(RecordStore.Topic.JOBS, "first");
        store(RecordStore.Topic.JOBS, "second");
        slowStore.answerReads();
        assertEquals(List.of("first"), laterRecords);
        assertEquals(loadedAt, feed.lastReadNanoTime());
        slowStore.answerReads();
        assertEquals(List.of("first", "second"), laterRecords);
        assertEquals(loadedAt + Duration.ofSeconds(3).toNanos(), feed.lastReadNanoTime());
    }

    /** Answers reads and the snapshot of one topic only when the test requests it. */
    private static final class SlowStore implements RecordStore {
        private final RecordStore store;
        private final List<Runnable> pendingReads = new ArrayList<>();
        private final CompletableFuture<Void> snapshotReleased = new CompletableFuture<>();
        private Optional<Topic> delayedTopic = Optional.empty();
        private int recordsPerRead = Integer.MAX_VALUE;

        SlowStore(RecordStore store) {
            this.store = store;
        }

        void delaySnapshotOf(Topic topic) {
            delayedTopic = Optional.of(topic);
        }

        void limitRecordsPerRead(int maximum) {
            recordsPerRead = maximum;
        }

        private ReadResult limit(ReadResult whole, long fromOffset) {
            int count = Math.min(recordsPerRead, whole.records().size());
            return new ReadResult(
                    whole.outcome(),
                    whole.records().subList(0, count),
                    fromOffset + count,
                    count < whole.records().size());
        }

        void answerSnapshot() {
            snapshotReleased.complete(null);
        }

        void answerReads() {
            List<Runnable> reads = List.copyOf(pendingReads);
            pendingReads.clear();
            reads.forEach(Runnable::run);
        }

        @Override
        public CompletableFuture<AppendResult> append(
                Topic topic, List<KeyedRecord> records, OptionalLong expectedEnd) {
            return store.append(topic, records, expectedEnd);
        }

        @Override
        public CompletableFuture<AppendResult> appendFenced(
                Topic topic, List<KeyedRecord> records, WriterPosition position) {
            return store.appendFenced(topic, records, position);
        }

        @Override
        public CompletableFuture<ReadResult> read(Topic topic, long fromOffset, Duration wait) {
            CompletableFuture<ReadResult> result = new CompletableFuture<>();
            pendingReads.add(() ->
                    result.complete(limit(store.read(topic, fromOffset, wait).join(), fromOffset)));
            return result;
        }

        @Override
        public CompletableFuture<Snapshot> snapshot(Topic topic) {
            return delayedTopic.filter(topic::equals).isPresent()
                    ? snapshotReleased.thenCompose(unused -> store.snapshot(topic))
                    : store.snapshot(topic);
        }
    }
}
