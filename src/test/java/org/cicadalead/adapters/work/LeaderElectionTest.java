package org.cicadalead.adapters.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.ByteArrayOutputStream;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.cicadalead.adapters.time.SystemTimerService;
import org.cicadalead.logic.work.EarlierTerm;
import org.cicadalead.logic.work.HostsInUse;
import org.cicadalead.model.work.HostClaim;
import org.cicadalead.model.work.LeaderRecord;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.ports.RecordStore.Topic;
import org.cicadalead.support.InMemoryRecordStore;
import org.cicadalead.support.InMemoryRecordStore.Fault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LeaderElectionTest {
    private static final long LEADER_TIMEOUT_MILLISECONDS = 1_200;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final HostsInUse HOSTS_IN_USE = new HostsInUse(
            1,
            Map.of("host", new HostClaim("service", true, 100, Optional.of("machine"))),
            Optional.of(Set.of("job")),
            Optional.of(60_000L));

    private final InMemoryRecordStore store = new InMemoryRecordStore();
    private final SystemTimerService timers = new SystemTimerService(failure -> {});
    private final WorkCodec codec = new WorkCodec(problem -> {});
    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private final DecisionLog log = new DecisionLog(logOutput, "process", new WorkMetrics(new SimpleMeterRegistry()));
    private volatile boolean hostsKnown = true;
    private long startedAtMilliseconds = TimeUnit.NANOSECONDS.toMillis(timers.nanoTime());
    private volatile boolean losesRepliesOfStoredHeartbeats;
    private final AtomicInteger failingCalls = new AtomicInteger();
    private final AtomicInteger reads = new AtomicInteger();
    private final AtomicInteger staleSnapshots = new AtomicInteger();
    private final List<String> startedTerms = new CopyOnWriteArrayList<>();
    private final List<Long> storedGenerations = new CopyOnWriteArrayList<>();
    private final List<LeaderElection> elections = new ArrayList<>();

    private LeaderElection createCandidate(String name) {
        LeaderElection.Listener listener = new LeaderElection.Listener() {
            @Override
            public void onElected(long epoch, Optional<EarlierTerm> earlierTerm) {
                startedTerms.add(name + " " + epoch);
            }

            @Override
            public void onTermEnded() {}

            @Override
            public Optional<HostsInUse> hostsInUse(long epoch) {
                return hostsKnown ? Optional.of(HOSTS_IN_USE) : Optional.empty();
            }

            @Override
            public void onAnnouncementStored(HostsInUse announced) {
                storedGenerations.add(announced.generation());
            }

            @Override
            public Optional<HostsInUse> resign() {
                return Optional.of(HOSTS_IN_USE);
            }
        };
        LeaderElection election = new LeaderElection(
                createStoreView(),
                codec,
                timers,
                log,
                new LeaderElection.Candidate(name + "#1", name + ":1", 0, startedAtMilliseconds),
                listener);
        elections.add(election);
        return election;
    }

    @AfterEach
    void closeElections() {
        elections.forEach(LeaderElection::close);
        timers.close();
        log.close();
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean() && System.nanoTime() < deadline) {
            Thread.sleep(10);
        }
        assertTrue(condition.getAsBoolean(), "the condition did not hold within " + TIMEOUT);
    }

    /** Under load the leader stores a record with each batch of start intents, each of which every follower read. */
    @Test
    void followerReadsTheTopicAtItsOwnPaceHoweverOftenTheLeaderStoresRecords() throws InterruptedException {
        LeaderElection leader = createCandidate("a");
        leader.start();
        await(() -> startedTerms.contains("a 1"));
        createCandidate("b").start();
        await(() -> elections.get(1).leader().isPresent());
        int readsBefore = reads.get();
        int heartbeatsBefore = storedGenerations.size();
        await(() -> {
            leader.requestHeartbeat();
            return storedGenerations.size() >= heartbeatsBefore + 60;
        });
        int readCount = reads.get() - readsBefore;
        assertTrue(readCount < 30, readCount + " reads while the leader stored 60 records");
        long observations = logOutput
                .toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains("TERM_OBSERVED"))
                .count();
        assertTrue(observations <= 1, observations + " lines about one term");
    }

    /** The end of a snapshot may be newer than its records; a claim there would count the bounds of an older record. */
    @Test
    void claimsNothingBehindRecordThatItHasNotRead() throws InterruptedException {
        store.append(Topic.LEADER, List.of(createRecord(4, true)), java.util.OptionalLong.empty());
        store.append(Topic.LEADER, List.of(createRecord(5, false)), java.util.OptionalLong.empty());
        staleSnapshots.set(1);
        createCandidate("b").start();
        await(() -> !startedTerms.isEmpty());
        assertEquals(List.of("b 6"), startedTerms);
    }

    /** Without the claims of the earlier term, its runs would be started again while they go on. */
    @Test
    void claimsNothingWhileClaimsOfEarlierTermAreUnreadable() throws InterruptedException {
        byte[] complete = createRecord(4, true).value().orElseThrow();
        store.append(
                Topic.LEADER,
                List.of(org.cicadalead.ports.RecordStore.KeyedRecord.of(
                        "leader", java.util.Arrays.copyOf(complete, complete.length - 1))),
                java.util.OptionalLong.empty());
        createCandidate("b").start();
        await(() -> reads.get() >= 4);
        assertEquals(List.of(), startedTerms);
        store.append(Topic.LEADER, List.of(createRecord(5, true)), java.util.OptionalLong.empty());
        await(() -> !startedTerms.isEmpty());
        assertEquals(List.of("b 6"), startedTerms);
    }

    private org.cicadalead.ports.RecordStore.KeyedRecord createRecord(long epoch, boolean resigned) {
        return org.cicadalead.ports.RecordStore.KeyedRecord.of(
                "leader",
                codec.encode(
                        new LeaderRecord(epoch, "a#0", "a:1", resigned, Map.of(), Optional.empty(), Optional.empty())));
    }

    private LeaderRecord readStoredLeader() {
        return store.snapshot(Topic.LEADER).join().records().stream()
                .findFirst()
                .flatMap(entry -> codec.decode(entry.value().orElseThrow(), LeaderRecord.class))
                .orElseThrow();
    }

    @Test
    void electsExactlyOneOfSeveralCandidates() throws InterruptedException {
        for (String name : List.of("a", "b", "c")) {
            createCandidate(name).start();
        }
        await(() -> !startedTerms.isEmpty()
                && elections.stream().allMatch(election -> election.leader().isPresent()));
        assertEquals(1, startedTerms.size());
        assertEquals(1, readStoredLeader().epoch());
    }

    @Test
    void carriesHostsInUseOverFromResignedTerm() throws InterruptedException {
        LeaderElection first = createCandidate("a");
        first.start();
        await(() -> startedTerms.contains("a 1"));
        first.close();
        assertTrue(readStoredLeader().resigned());
        assertEquals(HOSTS_IN_USE.claims(), readStoredLeader().hosts());
        createCandidate("b").start();
        await(() -> startedTerms.contains("b 2"));
        assertEquals(HOSTS_IN_USE.claims(), readStoredLeader().hosts());
    }

    /** A process that drains answers queries, for which it has to know the next leader. */
    @Test
    void followsTheNextLeaderAfterItResigned() throws InterruptedException {
        LeaderElection resigned = createCandidate("a");
        resigned.start();
        await(() -> startedTerms.contains("a 1"));
        resigned.resign();
        await(() -> resigned.leadingEpoch().isEmpty());
        LeaderElection successor = createCandidate("b");
        successor.start();
        await(() -> resigned.leader().filter(leader -> leader.epoch() == 2).isPresent());
        successor.resign();
        await(() -> resigned.leader().isEmpty());
        assertEquals(List.of("a 1", "b 2"), startedTerms);
    }

    @Test
    void recognizesOwnClaimWhenAppendResponseIsLost() throws InterruptedException {
        store.failNext(Fault.REPLY_LOST, 1);
        createCandidate("a").start();
        await(() -> startedTerms.contains("a 1"));
        assertEquals(List.of("a 1"), startedTerms);
    }

    @Test
    void continuesElectionAfterFailureInIt() throws InterruptedException {
        failingCalls.set(3);
        createCandidate("a").start();
        await(() -> startedTerms.contains("a 1"));
        failingCalls.set(2);
        await(() -> failingCalls.get() == 0);
        long heartbeats = storedGenerations.size();
        await(() -> storedGenerations.size() > heartbeats + 1);
        assertEquals(List.of("a 1"), startedTerms);
    }

    @Test
    void reportsAnnouncementThatItReadsBackAsStored() throws InterruptedException {
        losesRepliesOfStoredHeartbeats = true;
        LeaderElection election = createCandidate("a");
        election.start();
        await(() -> startedTerms.contains("a 1"));
        await(() -> storedGenerations.contains(1L));
        assertEquals(HOSTS_IN_USE.claims(), readStoredLeader().hosts());
    }

    /** Returns the store, which loses the replies to all heartbeats that it stores if that is set. */
    private RecordStore createStoreView() {
        return (RecordStore) Proxy.newProxyInstance(
                RecordStore.class.getClassLoader(), new Class<?>[] {RecordStore.class}, (proxy, method, arguments) -> {
                    if (failingCalls.getAndUpdate(calls -> Math.max(0, calls - 1)) > 0) {
                        return CompletableFuture.failedFuture(new IllegalStateException("a call failed"));
                    }
                    boolean isSnapshot = method.getName().equals("snapshot");
                    reads.addAndGet(isSnapshot || method.getName().equals("read") ? 1 : 0);
                    if (isSnapshot && staleSnapshots.getAndUpdate(count -> Math.max(0, count - 1)) > 0) {
                        List<RecordStore.KeyedRecord> records = store.read(Topic.LEADER, 0, Duration.ZERO)
                                .join()
                                .records();
                        return CompletableFuture.completedFuture(
                                new RecordStore.Snapshot(true, records.subList(0, 1), records.size()));
                    }
                    Object reply = method.invoke(store, arguments);
                    if (losesRepliesOfStoredHeartbeats
                            && method.getName().equals("append")
                            && !startedTerms.isEmpty()
                            && ((CompletableFuture<?>) reply).join() instanceof RecordStore.AppendResult result
                            && result.outcome() == RecordStore.AppendOutcome.STORED) {
                        return CompletableFuture.completedFuture(
                                new RecordStore.AppendResult(RecordStore.AppendOutcome.UNKNOWN, -1));
                    }
                    return reply;
                });
    }

    @Test
    void claimsWithoutTimeoutWhenLeaderWasPreviousIncarnation() throws InterruptedException {
        store.append(
                Topic.LEADER,
                List.of(org.cicadalead.ports.RecordStore.KeyedRecord.of(
                        "leader",
                        codec.encode(new LeaderRecord(
                                4, "a#0", "a:1", false, Map.of(), Optional.empty(), Optional.empty())))),
                java.util.OptionalLong.empty());
        long startedAt = System.nanoTime();
        createCandidate("a").start();
        await(() -> startedTerms.contains("a 5"));
        assertTrue(System.nanoTime() - startedAt < Duration.ofMillis(1_900).toNanos());
    }

    @Test
    void repeatsPreviousAnnouncementUntilHostsAreLoaded() throws InterruptedException {
        hostsKnown = false;
        store.append(
                Topic.LEADER,
                List.of(org.cicadalead.ports.RecordStore.KeyedRecord.of(
                        "leader",
                        codec.encode(new LeaderRecord(
                                4,
                                "a#0",
                                "a:1",
                                false,
                                HOSTS_IN_USE.claims(),
                                HOSTS_IN_USE.startedJobs(),
                                HOSTS_IN_USE.leasesExpireAfter())))),
                java.util.OptionalLong.empty());
        createCandidate("a").start();
        await(() -> store.read(Topic.LEADER, 0, Duration.ZERO).join().records().size() >= 4);
        assertEquals(5, readStoredLeader().epoch());
        assertEquals(HOSTS_IN_USE.startedJobs(), readStoredLeader().startedJobs());
        assertEquals(HOSTS_IN_USE.claims().keySet(), readStoredLeader().hosts().keySet());
    }

    private Optional<Long> awaitCarriedOnBound(Optional<Long> announcedBound) throws InterruptedException {
        return awaitCarriedOnBound("b", announcedBound);
    }

    private Optional<Long> awaitCarriedOnBound(String leader, Optional<Long> announcedBound)
            throws InterruptedException {
        hostsKnown = false;
        store.append(
                Topic.LEADER,
                List.of(org.cicadalead.ports.RecordStore.KeyedRecord.of(
                        "leader",
                        codec.encode(new LeaderRecord(
                                4, leader + "#0", leader + ":1", false, Map.of(), Optional.empty(), announcedBound)))),
                java.util.OptionalLong.empty());
        createCandidate("a").start();
        await(() -> startedTerms.contains("a 5"));
        return readStoredLeader().leasesExpireAfter();
    }

    @Test
    void carriesOnBoundOfTimedOutTermLessTheTimeSinceItsRecordWasRead() throws InterruptedException {
        long carriedOn = awaitCarriedOnBound(Optional.of(60_000L)).orElseThrow();
        assertTrue(carriedOn <= 60_000 - LEADER_TIMEOUT_MILLISECONDS, "the bound is " + carriedOn);
    }

    @Test
    void countsBoundOfOwnPreviousIncarnationFromTheStartOfTheProcess() throws InterruptedException {
        startedAtMilliseconds -= 7_000;
        long carriedOn = awaitCarriedOnBound("a", Optional.of(60_000L)).orElseThrow();
        assertTrue(carriedOn <= 60_000 - 7_000, "the bound is " + carriedOn);
    }

    @Test
    void countsBoundOfAnotherProcessFromTheFirstReadingOfItsRecord() throws InterruptedException {
        startedAtMilliseconds -= 40_000;
        long carriedOn = awaitCarriedOnBound("b", Optional.of(60_000L)).orElseThrow();
        assertTrue(carriedOn > 60_000 - 40_000, "the bound is " + carriedOn);
    }

    @Test
    void carriesOnNoBoundOfTermThatAnnouncedNone() throws InterruptedException {
        assertEquals(Optional.empty(), awaitCarriedOnBound(Optional.empty()));
    }
}
