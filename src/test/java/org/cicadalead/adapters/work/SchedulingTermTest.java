package org.cicadalead.adapters.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.OutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.stream.Stream;
import org.cicadalead.logic.work.SchedulingTerms;
import org.cicadalead.model.work.FleetPlan;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.MachineEntry;
import org.cicadalead.model.work.MachineOutcome;
import org.cicadalead.model.work.MaintenanceWave;
import org.cicadalead.model.work.RunKey;
import org.cicadalead.model.work.StartOutcome;
import org.cicadalead.model.work.WorkPhase;
import org.cicadalead.model.work.WorkProgress;
import org.cicadalead.ports.HostOrders;
import org.cicadalead.ports.MachineOrders;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.support.InMemoryRecordStore;
import org.cicadalead.support.ManualTimerService;
import org.junit.jupiter.api.Test;

class SchedulingTermTest {
    private final List<String> calls = new CopyOnWriteArrayList<>();
    private final CompletableFuture<Void> fenceResponse = new CompletableFuture<>();
    private final InMemoryRecordStore backingStore = new InMemoryRecordStore();

    /** Records the order of calls, and answers fenced appends only when the test requests it. */
    private final RecordStore store = new RecordStore() {
        @Override
        public CompletableFuture<AppendResult> append(
                Topic topic, List<KeyedRecord> records, OptionalLong expectedEnd) {
            return backingStore.append(topic, records, expectedEnd);
        }

        @Override
        public CompletableFuture<AppendResult> appendFenced(
                Topic topic, List<KeyedRecord> records, WriterPosition position) {
            calls.add("fence " + topic);
            return fenceResponse.thenCompose(unused -> backingStore.appendFenced(topic, records, position));
        }

        @Override
        public CompletableFuture<ReadResult> read(Topic topic, long fromOffset, Duration wait) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Snapshot> snapshot(Topic topic) {
            calls.add("snapshot " + topic);
            return backingStore.snapshot(topic);
        }
    };

    @Test
    void selectsNewestProgressOfJobStoredInSeveralTopics() {
        WorkProgress older = new WorkProgress("job", 1, WorkPhase.RUNNING, Map.of(), Map.of(), Map.of(), Map.of());
        WorkProgress newer = new WorkProgress("job", 2, WorkPhase.FAILED, Map.of(), Map.of(), Map.of(), Map.of());
        assertEquals(List.of(newer), SchedulingTerm.selectNewestPerJob(Stream.of(newer, older)));
        assertEquals(List.of(newer), SchedulingTerm.selectNewestPerJob(Stream.of(older, newer)));
    }

    @Test
    void readsJobsAndProgressOnlyAfterFencingEarlierTerms() {
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
        try {
            SchedulingTerm term = new SchedulingTerm(
                    createPorts(store),
                    executor,
                    new SchedulingTerms(5_700, 6_000, 2_500, 6_000, 200, 2_000, 1),
                    2,
                    Optional.empty(),
                    hostsInUse -> {});
            term.start();
            assertTrue(calls.contains("fence PROGRESS"));
            assertEquals(
                    List.of(),
                    calls.stream().filter(call -> call.endsWith("JOBS")).toList());
            assertEquals(
                    List.of(),
                    calls.stream()
                            .filter(call -> call.equals("snapshot PROGRESS"))
                            .toList());
            fenceResponse.complete(null);
            assertTrue(calls.containsAll(List.of("snapshot JOBS", "snapshot PROGRESS")));
            term.close();
        } finally {
            executor.shutdownNow();
        }
    }

    static SchedulingPorts createPorts(RecordStore store) {
        ManualTimerService timers = new ManualTimerService();
        DecisionLog log =
                new DecisionLog(OutputStream.nullOutputStream(), "process", new WorkMetrics(new SimpleMeterRegistry()));
        return new SchedulingPorts(
                store,
                new UnreachableHosts(),
                new UnreachableMachines(),
                (step, hosts) -> new CompletableFuture<>(),
                new EmptyRegistry(),
                new OperatorFeed(store, timers, new EmptyOperator(), log),
                timers,
                new WorkCodec(problem -> {}),
                log,
                () -> 0,
                () -> {},
                () -> {});
    }

    private static final class UnreachableHosts implements HostOrders {
        @Override
        public CompletableFuture<StartOutcome> start(StartOrder order) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<OrderOutcome> stop(Target target, RunKey run) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<OrderOutcome> pace(Target target, RunKey run, int percentage) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<PollResult> poll(
                Target target, OptionalLong deadline, long acknowledged, Duration wait) {
            return new CompletableFuture<>();
        }
    }

    private static final class UnreachableMachines implements MachineOrders {
        @Override
        public CompletableFuture<Optional<List<MachineEntry>>> list() {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<MachineOutcome> maintain(String machine, long wave, long epoch) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<MachineOutcome> move(String machine, String pool, long epoch) {
            return new CompletableFuture<>();
        }
    }

    private static final class EmptyRegistry implements RegistryFormat {
        @Override
        public Optional<HostEntry> decodeHost(RecordStore.KeyedRecord entry) {
            return Optional.empty();
        }

        @Override
        public RecordStore.KeyedRecord encodeWaveStatus(long wave, boolean completed) {
            return RecordStore.KeyedRecord.createDeletion("wave");
        }

        @Override
        public Optional<Long> decodeCompletedWave(RecordStore.KeyedRecord entry) {
            return Optional.empty();
        }
    }

    private static final class EmptyOperator implements OperatorFeed.Decoder {
        @Override
        public Optional<FleetPlan> decodePlan(RecordStore.KeyedRecord entry) {
            return Optional.empty();
        }

        @Override
        public Optional<MaintenanceWave> decodeWave(RecordStore.KeyedRecord entry) {
            return Optional.empty();
        }
    }
}
