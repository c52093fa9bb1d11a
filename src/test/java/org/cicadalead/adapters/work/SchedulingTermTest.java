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
    private final CompletableFuture<Void> fenceAnswer = new CompletableFuture<>();
    private final InMemoryRecordStore stored = new InMemoryRecordStore();

    /** A store that notes the order of calls, and answers appends of a term only when told to. */
    private final RecordStore store = new RecordStore() {
        @Override
        public CompletableFuture<Appended> append(Topic topic, List<KeyedRecord> records, OptionalLong expectedEnd) {
            return stored.append(topic, records, expectedEnd);
        }

        @Override
        public CompletableFuture<Appended> appendAs(Topic topic, List<KeyedRecord> records, WriterPosition position) {
            calls.add("fence " + topic);
            return fenceAnswer.thenCompose(now -> stored.appendAs(topic, records, position));
        }

        @Override
        public CompletableFuture<Slice> read(Topic topic, long fromOffset, Duration wait) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Snapshot> snapshot(Topic topic) {
            calls.add("snapshot " + topic);
            return stored.snapshot(topic);
        }
    };

    @Test
    void takesTheNewestOfTheRecordsThatAJobHasInSeveralTopics() {
        WorkProgress older = new WorkProgress("job", 1, WorkPhase.RUNNING, Map.of(), Map.of(), Map.of(), Map.of());
        WorkProgress newer = new WorkProgress("job", 2, WorkPhase.FAILED, Map.of(), Map.of(), Map.of(), Map.of());
        assertEquals(List.of(newer), SchedulingTerm.newestOfEachJob(Stream.of(newer, older)));
        assertEquals(List.of(newer), SchedulingTerm.newestOfEachJob(Stream.of(older, newer)));
    }

    @Test
    void readsJobsAndProgressOnlyAfterNothingOfAnEarlierTermCanBeWritten() {
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
        try {
            SchedulingTerm term = new SchedulingTerm(
                    ports(store),
                    executor,
                    new SchedulingTerms(5_700, 2_500, 6_000, 200, 2_000, 1),
                    2,
                    Optional.empty(),
                    used -> {});
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
            fenceAnswer.complete(null);
            assertTrue(calls.containsAll(List.of("snapshot JOBS", "snapshot PROGRESS")));
            term.close();
        } finally {
            executor.shutdownNow();
        }
    }

    static SchedulingPorts ports(RecordStore store) {
        ManualTimerService timers = new ManualTimerService();
        DecisionLog log =
                new DecisionLog(OutputStream.nullOutputStream(), "process", new WorkMetrics(new SimpleMeterRegistry()));
        return new SchedulingPorts(
                store,
                new SilentHosts(),
                new SilentMachines(),
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

    private static final class SilentHosts implements HostOrders {
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
        public CompletableFuture<Look> look(Target target, OptionalLong deadline, long acknowledged, Duration wait) {
            return new CompletableFuture<>();
        }
    }

    private static final class SilentMachines implements MachineOrders {
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
        public Optional<HostEntry> host(RecordStore.KeyedRecord entry) {
            return Optional.empty();
        }

        @Override
        public RecordStore.KeyedRecord waveStatus(long wave, boolean completed) {
            return RecordStore.KeyedRecord.dropping("wave");
        }

        @Override
        public Optional<Long> completedWave(RecordStore.KeyedRecord entry) {
            return Optional.empty();
        }
    }

    private static final class EmptyOperator implements OperatorFeed.Decoder {
        @Override
        public Optional<FleetPlan> plan(RecordStore.KeyedRecord entry) {
            return Optional.empty();
        }

        @Override
        public Optional<MaintenanceWave> wave(RecordStore.KeyedRecord entry) {
            return Optional.empty();
        }
    }
}
