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
    private final List<String> later = new ArrayList<>();
    private final SlowStore slow = new SlowStore(store);
    private final JobsFeed feed = new JobsFeed(slow, timers, new JobsFeed.Listener() {
        @Override
        public void loaded(List<RecordStore.KeyedRecord> records) {
            records.forEach(stored -> loaded.add(stored.key()));
        }

        @Override
        public void records(List<RecordStore.KeyedRecord> records) {
            records.forEach(stored -> later.add(stored.key()));
        }
    });

    private void store(RecordStore.Topic topic, String key) {
        store.append(topic, List.of(RecordStore.KeyedRecord.of(key, new byte[] {1})), OptionalLong.empty());
    }

    @Test
    void loadsTheJobsOfAllTopicsTogether() {
        store(RecordStore.Topic.JOBS, "first");
        store(RecordStore.Topic.SPARE_JOBS, "second");
        feed.start();
        assertEquals(List.of("first", "second"), loaded.stream().sorted().toList());
        assertEquals(List.of(), later);
    }

    @Test
    void isAsOldAsTheTopicThatDoesNotAnswer() {
        store.silence(RecordStore.Topic.SPARE_JOBS);
        feed.start();
        assertEquals(List.of(), loaded, "jobs of the silent topic are missing");
        assertTrue(feed.readAt() < 0, "the silent topic was never read");
    }

    @Test
    void recordsOfATopicThatIsReadOnBeforeTheOtherIsLoadedAreNotLost() {
        store(RecordStore.Topic.JOBS, "snapshot");
        slow.hold(RecordStore.Topic.SPARE_JOBS);
        feed.start();
        store(RecordStore.Topic.JOBS, "later");
        slow.answerReads();
        assertEquals(List.of(), loaded);
        slow.release();
        assertEquals(List.of("later", "snapshot"), loaded.stream().sorted().toList());
        assertEquals(List.of(), later);
    }

    /** Answers reads when told to, and the snapshot of one topic late. */
    private static final class SlowStore implements RecordStore {
        private final RecordStore store;
        private final List<Runnable> reads = new ArrayList<>();
        private final CompletableFuture<Void> released = new CompletableFuture<>();
        private Optional<Topic> held = Optional.empty();

        SlowStore(RecordStore store) {
            this.store = store;
        }

        void hold(Topic topic) {
            held = Optional.of(topic);
        }

        void release() {
            released.complete(null);
        }

        void answerReads() {
            List<Runnable> waiting = List.copyOf(reads);
            reads.clear();
            waiting.forEach(Runnable::run);
        }

        @Override
        public CompletableFuture<Appended> append(Topic topic, List<KeyedRecord> records, OptionalLong expectedEnd) {
            return store.append(topic, records, expectedEnd);
        }

        @Override
        public CompletableFuture<Appended> appendAs(Topic topic, List<KeyedRecord> records, WriterPosition position) {
            return store.appendAs(topic, records, position);
        }

        @Override
        public CompletableFuture<Slice> read(Topic topic, long fromOffset, Duration wait) {
            CompletableFuture<Slice> answer = new CompletableFuture<>();
            reads.add(() -> answer.complete(store.read(topic, fromOffset, wait).join()));
            return answer;
        }

        @Override
        public CompletableFuture<Snapshot> snapshot(Topic topic) {
            return held.filter(topic::equals).isPresent()
                    ? released.thenCompose(now -> store.snapshot(topic))
                    : store.snapshot(topic);
        }
    }
}
