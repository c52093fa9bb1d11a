package org.cicadalead.adapters.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.support.InMemoryRecordStore;
import org.cicadalead.support.ManualTimerService;
import org.junit.jupiter.api.Test;

class JobsFeedTest {
    private final InMemoryRecordStore store = new InMemoryRecordStore();
    private final ManualTimerService timers = new ManualTimerService();
    private final List<String> loaded = new ArrayList<>();
    private final List<String> laterRecords = new ArrayList<>();
    private final SlowStore slowStore = new SlowStore(store);
    private final JobsFeed feed = new JobsFeed(slowStore, timers, new JobsFeed.Listener() {
        @Override
        public void onLoaded(List<RecordStore.KeyedRecord> records) {
            records.forEach(stored -> loaded.add(stored.key()));
        }

        @Override
        public void onFailed(Throwable failure) {
            throw new AssertionError(failure);
        }

        @Override
        public void onRecords(List<RecordStore.KeyedRecord> records) {
            records.forEach(stored -> laterRecords.add(stored.key()));
        }
    });

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

    /** Answers reads and the snapshot of one topic only when the test requests it. */
    private static final class SlowStore implements RecordStore {
        private final RecordStore store;
        private final List<Runnable> pendingReads = new ArrayList<>();
        private final CompletableFuture<Void> snapshotReleased = new CompletableFuture<>();
        private Optional<Topic> delayedTopic = Optional.empty();

        SlowStore(RecordStore store) {
            this.store = store;
        }

        void delaySnapshotOf(Topic topic) {
            delayedTopic = Optional.of(topic);
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
            pendingReads.add(
                    () -> result.complete(store.read(topic, fromOffset, wait).join()));
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
