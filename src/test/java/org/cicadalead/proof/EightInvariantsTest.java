package org.cicadalead.proof;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.fail;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Checks the decision logic under simulated faults against the eight invariants of the brief. For new seeds, run:
 * {@code mvn -o test -Dtest=EightInvariantsTest -Dcicadalead.proof.seed=1 -Dcicadalead.proof.runs=2000}.
 */
class EightInvariantsTest {
    private static final int STEPS = 40;
    private static final int MUTATION_RUNS = 150;
    private static final long SIMULATION_SEED = 7;
    private static final int COVERAGE_RUNS = 20;
    private static final Set<String> EXPECTED_OBSERVATIONS = Set.of(
            "Publish",
            "Join",
            "Leave",
            "Observe",
            "Withdraw",
            "Acknowledge",
            "Assign",
            "Start",
            "Grant",
            "ConfirmDrain",
            "Advance",
            "RAN",
            "NOT_RUN",
            "UNKNOWN");

    @Property(seed = "7007", tries = 150)
    void keepsInvariantsInGeneratedHistories(@ForAll("histories") List<ProofStep> steps) {
        runHistory(Mutation.NONE, steps, SIMULATION_SEED).ifPresent(violation -> fail(violation.getMessage()));
    }

    @Test
    void keepsInvariantsForConfiguredSeeds() {
        long firstSeed = Long.getLong("cicadalead.proof.seed", 1);
        int runCount = Integer.getInteger("cicadalead.proof.runs", 20);
        for (long seed = firstSeed; seed < firstSeed + runCount; seed++) {
            long failingSeed = seed;
            runHistory(Mutation.NONE, createRandomSteps(seed), seed)
                    .ifPresent(violation -> fail("seed " + failingSeed + ": " + violation.getMessage()));
        }
    }

    @Test
    void coversEveryHostCommandAndExecution() {
        Set<String> missing = new TreeSet<>(EXPECTED_OBSERVATIONS);
        for (long seed = 1; seed <= COVERAGE_RUNS; seed++) {
            ProofSimulation simulation = new ProofSimulation(Mutation.NONE, seed);
            createRandomSteps(seed).forEach(simulation::runStep);
            simulation.finish();
            missing.removeAll(simulation.observations());
        }
        assertEquals(Set.of(), missing, "not covered by any history");
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void detectsMutation(Mutation mutation) {
        Optional<InvariantViolationException> detected = Optional.empty();
        for (long seed = 1; seed <= MUTATION_RUNS && detected.isEmpty(); seed++) {
            detected = runHistory(mutation, createRandomSteps(seed), seed)
                    .filter(violation -> violation.invariant().equals(mutation.expectedInvariant()));
        }
        assertEquals(
                mutation.expectedInvariant(),
                detected.map(InvariantViolationException::invariant).orElse("nothing detected"));
    }

    @Provide
    Arbitrary<List<ProofStep>> histories() {
        return Combinators.combine(
                        Arbitraries.of(ProofStep.Kind.class),
                        Arbitraries.integers().between(0, 99),
                        Arbitraries.integers().between(0, 99))
                .as(ProofStep::new)
                .list()
                .ofMaxSize(STEPS);
    }

    private static Optional<InvariantViolationException> runHistory(
            Mutation mutation, List<ProofStep> steps, long seed) {
        ProofSimulation simulation = new ProofSimulation(mutation, seed);
        try {
            steps.forEach(simulation::runStep);
            simulation.finish();
            return Optional.empty();
        } catch (InvariantViolationException violation) {
            InvariantViolationException explained = new InvariantViolationException(
                    violation.invariant(), violation.getMessage() + "\n" + simulation.timeline());
            explained.initCause(violation);
            return Optional.of(explained);
        }
    }

    private static List<ProofStep> createRandomSteps(long seed) {
        Random random = new Random(seed);
        List<ProofStep.Kind> kinds = List.of(ProofStep.Kind.values());
        return Stream.generate(() -> new ProofStep(
                        kinds.get(random.nextInt(kinds.size())), random.nextInt(100), random.nextInt(100)))
                .limit(STEPS)
                .toList();
    }
}
