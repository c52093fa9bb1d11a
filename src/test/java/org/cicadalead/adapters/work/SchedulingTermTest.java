package org.cicadalead.adapters.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.cicadalead.logic.work.EarlierHosts;
import org.cicadalead.logic.work.SchedulingTerms;
import org.cicadalead.logic.work.WorkScheduler;
import org.cicadalead.model.work.ActiveRun;
import org.cicadalead.model.work.FleetPlan;
import org.cicadalead.model.work.HostCapacity;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.HostListing;
import org.cicadalead.model.work.JobAccess;
import org.cicadalead.model.work.MachineEntry;
import org.cicadalead.model.work.MachineOutcome;
import org.cicadalead.model.work.MaintenanceWave;
import org.cicadalead.model.work.RunKey;
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
        WorkProgress older =
                new WorkProgress("job", 1, WorkPhase.RUNNING, Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
        WorkProgress newer =
                new WorkProgress("job", 2, WorkPhase.FAILED, Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
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

    /** A host that replies with a list that cannot be applied. */
    private static final class UnusableHosts extends UnreachableHosts {
        private final CountDownLatch polls = new CountDownLatch(3);

        @Override
        public CompletableFuture<PollResult> poll(
                Target target, OptionalLong deadline, long acknowledged, Duration wait) {
            polls.countDown();
            HostListing listing = new HostListing(1, 1, List.of(new ActiveRun(null, "", 100, 0)), List.of());
            return CompletableFuture.completedFuture(new PollResult(OrderOutcome.CONFIRMED, Optional.of(listing)));
        }
    }

    @Test
    void pollsHostAgainAfterItsListCouldNotBeApplied() throws InterruptedException {
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
        try {
            UnusableHosts hosts = new UnusableHosts();
            SchedulingPorts ports = createPorts(store, hosts);
            SchedulingTerms terms = new SchedulingTerms(5_700, 6_000, 2_500, 6_000, 200, 2_000, 1);
            SchedulingTerm term = new SchedulingTerm(ports, executor, terms, 2, Optional.empty(), hostsInUse -> {});
            WorkScheduler scheduler = new WorkScheduler(terms, 2, EarlierHosts.NONE, 0);
            HostEntry host = new HostEntry(
                    "host", "service", "host:1", "zone", false, 1, 0, new HostCapacity(1, 1, 0), List.of());
            scheduler.updateHosts(List.of(host), term.now());
            executor.execute(() -> new HostPoller(term, ports, scheduler, "host", 2, () -> {}).poll());
            assertTrue(hosts.polls.await(20, TimeUnit.SECONDS));
        } finally {
            executor.shutdownNow();
        }
    }

    /** A host of which the first polls cannot be sent, and whose later ones fail. */
    private static final class UnusableAddress extends UnreachableHosts {
        private final CountDownLatch polls = new CountDownLatch(4);

        @Override
        public CompletableFuture<PollResult> poll(
                Target target, OptionalLong deadline, long acknowledged, Duration wait) {
            polls.countDown();
            if (polls.getCount() >= 2) {
                throw new IllegalArgumentException("port out of range");
            }
            return CompletableFuture.failedFuture(new IllegalArgumentException("port out of range"));
        }
    }

    /** A host was never polled again by a term after one poll that could not be sent. */
    @Test
    void pollsHostAgainAfterPollCouldNotBeSent() throws InterruptedException {
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
        try {
            UnusableAddress hosts = new UnusableAddress();
            SchedulingTerms terms = new SchedulingTerms(5_700, 6_000, 2_500, 6_000, 200, 2_000, 1);
            SchedulingTerm term = new SchedulingTerm(
                    createPorts(store, hosts), executor, terms, 2, Optional.empty(), hostsInUse -> {});
            WorkScheduler scheduler = new WorkScheduler(terms, 2, EarlierHosts.NONE, 0);
            HostEntry host = new HostEntry(
                    "host", "service", "host:1", "zone", false, 1, 0, new HostCapacity(1, 1, 0), List.of());
            scheduler.updateHosts(List.of(host), term.now());
            executor.execute(
                    () -> new HostPoller(term, createPorts(store, hosts), scheduler, "host", 2, () -> {}).poll());
            assertTrue(hosts.polls.await(20, TimeUnit.SECONDS), () -> hosts.polls.getCount() + " polls missing");
        } finally {
            executor.shutdownNow();
        }
    }

    private static byte[] encode(Object message) {
        return new WorkCodec(problem -> {}).encode(message);
    }

    private void put(RecordStore.Topic topic, String key, Object message) {
        backingStore.append(topic, List.of(RecordStore.KeyedRecord.of(key, encode(message))), OptionalLong.empty());
    }

    private static Map<String, Object> createStep() {
        return Map.of("taskCount", 1, "milliCores", 1, "estimatedMilliseconds", 1, "dependsOn", List.of());
    }

    private static Map<String, Object> createJob(String job) {
        return new HashMap<>(Map.of(
                "job",
                job,
                "queue",
                "queue",
                "service",
                "service",
                "payload",
                "text",
                "terms",
                Map.of("priority", 0, "maximumAttempts", 1, "slackFactor", 1, "targetMilliseconds", 1),
                "steps",
                List.of(createStep())));
    }

    /** A term that could not load one stored job never scheduled the others, nor did the terms that followed. */
    @Test
    void schedulesJobsBesideOneThatCannotBeLoaded() throws Exception {
        for (String missing : List.of("job", "queue", "service", "payload", "terms", "steps")) {
            Map<String, Object> odd = createJob("odd");
            odd.remove(missing);
            put(RecordStore.Topic.JOBS, "s/without-" + missing, odd);
        }
        for (Object value : List.of(List.of(5), List.of(-1), List.of(0), List.of(Integer.MIN_VALUE))) {
            Map<String, Object> odd = createJob("odd" + value);
            Map<String, Object> step = new HashMap<>(createStep());
            step.put("dependsOn", value);
            odd.put("steps", List.of(step));
            put(RecordStore.Topic.JOBS, "s/dependency" + value, odd);
        }
        put(RecordStore.Topic.JOBS, "c/odd", Map.of("restricted", true, "account", List.of()));
        put(RecordStore.Topic.JOBS, "s/valid", createJob("valid"));
        Map<String, Object> progress = new HashMap<>(Map.of(
                "job",
                "valid",
                "version",
                1,
                "phase",
                "RUNNING",
                "done",
                Map.of(),
                "failedAttempts",
                Map.of(),
                "attempts",
                Map.of(),
                "checkpoints",
                Map.of()));
        for (String missing : List.of("job", "phase", "done")) {
            Map<String, Object> odd = new HashMap<>(progress);
            odd.put("version", 9);
            odd.remove(missing);
            put(RecordStore.Topic.PROGRESS, "p/without-" + missing, odd);
        }
        put(RecordStore.Topic.PROGRESS, "p/valid", progress);
        put(RecordStore.Topic.PROGRESS, "w/odd", Map.of("number", 1));
        fenceResponse.complete(null);
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
        try {
            SchedulingTerm term = new SchedulingTerm(
                    createPorts(store),
                    executor,
                    new SchedulingTerms(5_700, 6_000, 2_500, 6_000, 200, 2_000, 1),
                    2,
                    Optional.empty(),
                    hostsInUse -> {});
            executor.execute(term::start);
            long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            Optional<Boolean> known = Optional.empty();
            while (known.isEmpty() && System.nanoTime() < deadline) {
                known = executor.submit(() -> term.ask(jobs -> jobs.findPhase("valid", JobAccess.UNRESTRICTED)
                                .phase()
                                .isPresent()))
                        .get(20, TimeUnit.SECONDS);
            }
            assertEquals(Optional.of(true), known);
            executor.execute(term::close);
        } finally {
            executor.shutdownNow();
        }
    }

    @Test
    void saysWhatTermWaitsForThatHasNotLoaded() throws InterruptedException {
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
        ManualTimerService timers = new ManualTimerService();
        BlockingQueue<String> output = new LinkedBlockingQueue<>();
        OutputStream queueingOutput = new ByteArrayOutputStream() {
            @Override
            public void flush() {
                output.add(toString(StandardCharsets.UTF_8));
                reset();
            }
        };
        try (DecisionLog log = new DecisionLog(queueingOutput, "process", new WorkMetrics(new SimpleMeterRegistry()))) {
            SchedulingTerm term = new SchedulingTerm(
                    createPorts(store, new UnreachableHosts(), timers, log),
                    executor,
                    new SchedulingTerms(5_700, 6_000, 2_500, 6_000, 200, 2_000, 1),
                    2,
                    Optional.empty(),
                    hostsInUse -> {});
            term.start();
            executor.execute(() -> timers.advance(Duration.ofSeconds(1)));
            String line = output.poll(30, TimeUnit.SECONDS);
            assertTrue(
                    line != null && line.contains("\"TERM_LOADING\"") && line.contains("\"epoch\":\"2\""),
                    "line " + line);
            assertTrue(line.contains("\"missing\":\"[FENCE, JOBS, PROGRESS"), line);
            term.close();
        } finally {
            executor.shutdownNow();
        }
    }

    static SchedulingPorts createPorts(RecordStore store) {
        return createPorts(store, new UnreachableHosts());
    }

    private static SchedulingPorts createPorts(RecordStore store, HostOrders hostOrders) {
        return createPorts(
                store,
                hostOrders,
                new ManualTimerService(),
                new DecisionLog(
                        OutputStream.nullOutputStream(), "process", new WorkMetrics(new SimpleMeterRegistry())));
    }

    private static SchedulingPorts createPorts(
            RecordStore store, HostOrders hostOrders, ManualTimerService timers, DecisionLog log) {
        return new SchedulingPorts(
                store,
                hostOrders,
                new UnreachableMachines(),
                (step, hosts) -> new CompletableFuture<>(),
                new EmptyRegistry(),
                new OperatorFeed(store, timers, new EmptyOperator(), log, 2_000, 5_000),
                timers,
                new WorkCodec(problem -> {}),
                log,
                () -> 0,
                () -> {},
                () -> {});
    }

    private static class UnreachableHosts implements HostOrders {
        @Override
        public CompletableFuture<StartReply> start(StartOrder order) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<OrderReply> stop(Target target, RunKey run) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<OrderReply> pace(Target target, RunKey run, int percentage) {
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
        public double maximumOrdersPerSecond() {
            return 64;
        }

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
