package org.cicadalead.adapters.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.cicadalead.model.work.FleetPlan;
import org.cicadalead.model.work.MaintenanceWave;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.ports.RecordStore.AppendOutcome;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.Topic;
import org.cicadalead.support.InMemoryRecordStore;
import org.cicadalead.support.ManualTimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a topic that is no longer read, or no longer written, after one call or record failed. */
class FailingReadersTest {
    private static final Duration ENOUGH = Duration.ofSeconds(2);

    private final InMemoryRecordStore backingStore = new InMemoryRecordStore();
    private final ManualTimerService timers = new ManualTimerService();
    private final List<String> received = new ArrayList<>();
    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private final DecisionLog log = new DecisionLog(logOutput, "process", new WorkMetrics(new SimpleMeterRegistry()));

    @AfterEach
    void closeLog() {
        log.close();
    }

    private void assertFailureIsLogged() {
        log.close();
        String lines = logOutput.toString(StandardCharsets.UTF_8);
        assertTrue(lines.contains("TOPIC_READER_FAILED") && lines.contains("odd"), lines);
    }

    /** How a call fails. */
    enum Failure {
        FUTURE {
            @Override
            <T> CompletableFuture<T> fail() {
                return CompletableFuture.failedFuture(new IllegalArgumentException("odd"));
            }
        },
        THROWN {
            @Override
            <T> CompletableFuture<T> fail() {
                throw new IllegalArgumentException("odd");
            }
        },
        STACK_OVERFLOW {
            @Override
            <T> CompletableFuture<T> fail() {
                return CompletableFuture.failedFuture(new StackOverflowError("odd"));
            }
        };

        abstract <T> CompletableFuture<T> fail();
    }

    /** Fails one call of each kind before it serves them. */
    private final class FailingStore implements RecordStore {
        private final Failure failure;
        private int remainingAppends = 1;
        private int remainingReads = 1;
        private int remainingSnapshots = 1;

        FailingStore(Failure failure) {
            this.failure = failure;
        }

        @Override
        public CompletableFuture<AppendResult> append(
                Topic topic, List<KeyedRecord> records, OptionalLong expectedEnd) {
            return remainingAppends-- > 0 ? failure.fail() : backingStore.append(topic, records, expectedEnd);
        }

        @Override
        public CompletableFuture<AppendResult> appendFenced(
                Topic topic, List<KeyedRecord> records, WriterPosition position) {
            return remainingAppends-- > 0 ? failure.fail() : backingStore.appendFenced(topic, records, position);
        }

        @Override
        public CompletableFuture<ReadResult> read(Topic topic, long fromOffset, Duration wait) {
            return remainingReads-- > 0 ? failure.fail() : backingStore.read(topic, fromOffset, wait);
        }

        @Override
        public CompletableFuture<Snapshot> snapshot(Topic topic) {
            return remainingSnapshots-- > 0 ? failure.fail() : backingStore.snapshot(topic);
        }
    }

    private void put(Topic topic, String key) {
        backingStore.append(topic, List.of(KeyedRecord.of(key, new byte[] {1})), OptionalLong.empty());
    }

    private TopicFollower.Listener listenerThatFails(int failures) {
        return new TopicFollower.Listener() {
            private int remaining = failures;

            @Override
            public void onSnapshot(List<KeyedRecord> records) {
                onRecords(records);
            }

            @Override
            public void onRecords(List<KeyedRecord> records) {
                records.forEach(stored -> received.add(stored.key()));
                if (remaining-- > 0) {
                    throw new IllegalArgumentException("odd");
                }
            }
        };
    }

    private TopicFollower createFollower(RecordStore store, TopicFollower.Listener listener) {
        return new TopicFollower(store, Topic.HOSTS, timers, log, Duration.ZERO, Duration.ofMillis(250), listener);
    }

    @ParameterizedTest
    @EnumSource(Failure.class)
    void followsTopicAfterReadFailed(Failure failure) {
        put(Topic.HOSTS, "first");
        TopicFollower follower = createFollower(new FailingStore(failure), listenerThatFails(0));
        try {
            follower.start();
        } catch (IllegalArgumentException thrownByStore) {
            assertEquals(Failure.THROWN, failure);
        }
        timers.advance(ENOUGH);
        put(Topic.HOSTS, "second");
        timers.advance(ENOUGH);
        follower.close();
        assertFailureIsLogged();
        assertEquals(List.of("first", "second"), received);
    }

    @ParameterizedTest
    @EnumSource(Failure.class)
    void followsTopicAfterListenerFailed(Failure failure) {
        put(Topic.HOSTS, "first");
        TopicFollower follower = createFollower(backingStore, listenerThatFails(2));
        follower.start();
        timers.advance(ENOUGH);
        put(Topic.HOSTS, "second");
        timers.advance(ENOUGH);
        put(Topic.HOSTS, "third");
        timers.advance(ENOUGH);
        follower.close();
        assertFailureIsLogged();
        assertTrue(received.containsAll(List.of("first", "second", "third")), () -> failure + " " + received);
    }

    @ParameterizedTest
    @EnumSource(Failure.class)
    void appendsRecordsAfterAppendFailed(Failure failure) {
        RecordAppender appender = new RecordAppender(new FailingStore(failure), Topic.JOBS);
        CompletableFuture<AppendOutcome> first = new CompletableFuture<>();
        try {
            first = appender.append(List.of(KeyedRecord.of("first", new byte[] {1})));
        } catch (IllegalArgumentException thrownByStore) {
            first.complete(AppendOutcome.UNKNOWN);
        }
        assertEquals(AppendOutcome.UNKNOWN, first.getNow(null));
        assertEquals(
                AppendOutcome.STORED,
                appender.append(List.of(KeyedRecord.of("second", new byte[] {1})))
                        .getNow(null));
    }

    @ParameterizedTest
    @EnumSource(Failure.class)
    void appendsRecordsOfTermAfterAppendFailed(Failure failure) {
        TermAppender appender =
                new TermAppender(new FailingStore(failure), List.of(Topic.PROGRESS), timers, 1, () -> {});
        try {
            appender.fence();
        } catch (IllegalArgumentException thrownByStore) {
            assertEquals(Failure.THROWN, failure);
        }
        timers.advance(ENOUGH);
        CompletableFuture<Void> stored = appender.append(List.of(KeyedRecord.of("key", new byte[] {1})));
        timers.advance(ENOUGH);
        assertTrue(stored.isDone());
    }

    @ParameterizedTest
    @EnumSource(Failure.class)
    void readsConfigurationAndWavesAfterOddRecord(Failure failure) {
        put(Topic.OPERATOR, "odd");
        put(Topic.OPERATOR, "wave/1");
        OperatorFeed feed =
                new OperatorFeed(new WaitingStore(), timers, new FailingDecoder(failure), log, 3_000, 6_000);
        feed.start();
        feed.close();
        assertEquals(
                List.of(1L), feed.waves().stream().map(MaintenanceWave::number).toList());
    }

    /** Reads no further records. */
    private final class WaitingStore implements RecordStore {
        @Override
        public CompletableFuture<AppendResult> append(
                Topic topic, List<KeyedRecord> records, OptionalLong expectedEnd) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<AppendResult> appendFenced(
                Topic topic, List<KeyedRecord> records, WriterPosition position) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<ReadResult> read(Topic topic, long fromOffset, Duration wait) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Snapshot> snapshot(Topic topic) {
            return backingStore.snapshot(topic);
        }
    }

    private record FailingDecoder(Failure failure) implements OperatorFeed.Decoder {
        @Override
        public Optional<FleetPlan> decodePlan(KeyedRecord stored) {
            return Optional.empty();
        }

        @Override
        public Optional<MaintenanceWave> decodeWave(KeyedRecord stored) {
            if (stored.key().equals("wave/1")) {
                return Optional.of(new MaintenanceWave(1, List.of("machine"), 1, 1));
            }
            if (failure == Failure.STACK_OVERFLOW) {
                throw new StackOverflowError("odd");
            }
            throw new IllegalArgumentException("odd");
        }
    }
}
