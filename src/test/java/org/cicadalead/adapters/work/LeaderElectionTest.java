package org.cicadalead.adapters.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import org.cicadalead.adapters.time.SystemTimerService;
import org.cicadalead.logic.work.HostsInUse;
import org.cicadalead.model.work.HostClaim;
import org.cicadalead.model.work.LeaderRecord;
import org.cicadalead.ports.RecordStore.Topic;
import org.cicadalead.support.InMemoryRecordStore;
import org.cicadalead.support.InMemoryRecordStore.Fault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LeaderElectionTest {
    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static final HostsInUse USED =
            new HostsInUse(1, Map.of("host", new HostClaim("service", true, 100)), Optional.of(Set.of("job")));

    private final InMemoryRecordStore store = new InMemoryRecordStore();
    private final SystemTimerService timers = new SystemTimerService(failure -> {});
    private final WorkCodec codec = new WorkCodec(problem -> {});
    private final DecisionLog log =
            new DecisionLog(OutputStream.nullOutputStream(), "process", new WorkMetrics(new SimpleMeterRegistry()));
    private volatile boolean hasBegun = true;
    private final List<String> terms = new CopyOnWriteArrayList<>();
    private final List<LeaderElection> elections = new ArrayList<>();

    private LeaderElection candidate(String name) {
        LeaderElection.Listener listener = new LeaderElection.Listener() {
            @Override
            public void elected(long epoch, Optional<LeaderRecord> before) {
                terms.add(name + " " + epoch);
            }

            @Override
            public void deposed() {}

            @Override
            public Optional<HostsInUse> hostsInUse(long epoch) {
                return hasBegun ? Optional.of(USED) : Optional.empty();
            }

            @Override
            public void published(HostsInUse stored) {}

            @Override
            public Optional<HostsInUse> resign() {
                return Optional.of(USED);
            }
        };
        LeaderElection election = new LeaderElection(
                store, codec, timers, log, new LeaderElection.Candidate(name + "#1", name + ":1", 0), listener);
        elections.add(election);
        return election;
    }

    @AfterEach
    void end() {
        elections.forEach(LeaderElection::close);
        timers.close();
        log.close();
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + LIMIT.toNanos();
        while (!condition.getAsBoolean() && System.nanoTime() < end) {
            Thread.sleep(10);
        }
        assertTrue(condition.getAsBoolean(), "the condition did not hold within " + LIMIT);
    }

    private LeaderRecord stored() {
        return store.snapshot(Topic.LEADER).join().records().stream()
                .findFirst()
                .flatMap(entry -> codec.decode(entry.value().orElseThrow(), LeaderRecord.class))
                .orElseThrow();
    }

    @Test
    void oneOfSeveralCandidatesHoldsTheFirstTerm() throws InterruptedException {
        for (String name : List.of("a", "b", "c")) {
            candidate(name).start();
        }
        await(() -> !terms.isEmpty()
                && elections.stream().allMatch(election -> election.leader().isPresent()));
        assertEquals(1, terms.size());
        assertEquals(1, stored().epoch());
    }

    @Test
    void aResignedTermIsTakenOverAndTellsWhichHostsWereInUse() throws InterruptedException {
        LeaderElection first = candidate("a");
        first.start();
        await(() -> terms.contains("a 1"));
        first.close();
        assertTrue(stored().resigned());
        assertEquals(USED.claims(), stored().hosts());
        candidate("b").start();
        await(() -> terms.contains("b 2"));
        assertEquals(USED.claims(), stored().hosts());
    }

    @Test
    void aClaimWhoseAnswerWasLostIsReadBack() throws InterruptedException {
        store.failNext(Fault.ANSWER_LOST, 1);
        candidate("a").start();
        await(() -> terms.contains("a 1"));
        assertEquals(List.of("a 1"), terms);
    }

    @Test
    void aProcessThatStartedAnewOnTheSameAddressDoesNotWaitForItsLastLife() throws InterruptedException {
        store.append(
                Topic.LEADER,
                List.of(org.cicadalead.ports.RecordStore.KeyedRecord.of(
                        "leader", codec.encode(new LeaderRecord(4, "a#0", "a:1", false, Map.of(), Optional.empty())))),
                java.util.OptionalLong.empty());
        long begun = System.nanoTime();
        candidate("a").start();
        await(() -> terms.contains("a 5"));
        assertTrue(System.nanoTime() - begun < Duration.ofMillis(1_900).toNanos());
    }

    @Test
    void aTermThatHasReadNothingYetGoesOnSayingWhatTheTermBeforeSaid() throws InterruptedException {
        hasBegun = false;
        store.append(
                Topic.LEADER,
                List.of(org.cicadalead.ports.RecordStore.KeyedRecord.of(
                        "leader",
                        codec.encode(new LeaderRecord(4, "a#0", "a:1", false, USED.claims(), USED.startedJobs())))),
                java.util.OptionalLong.empty());
        candidate("a").start();
        await(() -> store.read(Topic.LEADER, 0, Duration.ZERO).join().records().size() >= 4);
        assertEquals(5, stored().epoch());
        assertEquals(USED.startedJobs(), stored().startedJobs());
        assertEquals(USED.claims().keySet(), stored().hosts().keySet());
    }
}
