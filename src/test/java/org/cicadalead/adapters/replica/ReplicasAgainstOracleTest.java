package org.cicadalead.adapters.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.UnaryOperator;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.ports.PlatformLog;
import org.junit.jupiter.api.Test;

class ReplicasAgainstOracleTest {
    private static final int STEPS = 150;

    @Property(tries = 150, seed = "-4962768465676381896")
    void matchesOracleAfterArbitrarySteps(@ForAll("steps") List<ReplicaSimulationStep> steps) {
        new ReplicaSimulation(UnaryOperator.identity()).run(steps);
    }

    /**
     * Runs configured seeds; long runs: {@code mvn test -Dtest=ReplicasAgainstOracleTest -Dcicadalead.fuzz.seed=7
     * -Dcicadalead.fuzz.runs=9}.
     */
    @Test
    void matchesOracleOnConfiguredSeeds() {
        long firstSeed = Long.getLong("cicadalead.fuzz.seed", 1);
        int runs = Integer.getInteger("cicadalead.fuzz.runs", 20);
        for (long seed = firstSeed; seed < firstSeed + runs; seed++) {
            runSeed(seed, UnaryOperator.identity());
        }
    }

    @Test
    void detectsReplicaThatSkipsRecords() {
        assertThrows(AssertionError.class, () -> {
            for (long seed = 1; seed <= 20; seed++) {
                runSeed(seed, SkippingLog::new);
            }
        });
    }

    @Test
    void coversGapsJumpsRelaysAndCheckpoints() {
        Set<EventKind> observed = EnumSet.noneOf(EventKind.class);
        for (long seed = 1; seed <= 20; seed++) {
            observed.addAll(runSeed(seed, UnaryOperator.identity()));
        }
        Set<EventKind> missing = EnumSet.of(
                EventKind.STATE_GAP,
                EventKind.STATE_JUMPED,
                EventKind.RECORD_RELAYED,
                EventKind.CHECKPOINT_COMPLETE,
                EventKind.PLATFORM_LOG_UNAVAILABLE);
        missing.removeAll(observed);
        assertEquals(Set.of(), missing, "event kinds that no run emitted");
    }

    @Provide
    Arbitrary<List<ReplicaSimulationStep>> steps() {
        Arbitrary<Integer> numbers = Arbitraries.integers().between(0, 63);
        return Combinators.combine(Arbitraries.of(ReplicaSimulationStep.Action.class), numbers, numbers)
                .as(ReplicaSimulationStep::new)
                .list()
                .ofMaxSize(STEPS);
    }

    private static Set<EventKind> runSeed(long seed, UnaryOperator<PlatformLog> mutation) {
        Random random = new Random(seed);
        List<ReplicaSimulationStep> steps = new ArrayList<>();
        for (int index = 0; index < STEPS; index++) {
            steps.add(ReplicaSimulationStep.random(random));
        }
        try {
            ReplicaSimulation simulation = new ReplicaSimulation(mutation);
            simulation.run(steps);
            return simulation.observedEvents();
        } catch (AssertionError failure) {
            throw new AssertionError("seed " + seed + ": " + failure.getMessage(), failure);
        }
    }

    /** Faulty log client that drops every fifth record that it reads, to show that the checks can fail. */
    private record SkippingLog(PlatformLog log) implements PlatformLog {
        @Override
        public long append(byte[] payload) {
            return log.append(payload);
        }

        @Override
        public LogBatch read(long fromOffset, int maximumRecords, Duration maximumWait) {
            LogBatch batch = log.read(fromOffset, maximumRecords, maximumWait);
            List<LogRecord> kept = batch.records().stream()
                    .filter(record -> record.offset() % 5 != 0)
                    .toList();
            return new LogBatch(batch.oldestOffset(), batch.nextOffset(), kept);
        }
    }
}
