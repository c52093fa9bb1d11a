package org.cicadalead.adapters.membership;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.cicadalead.adapters.membership.MoveSimulation.Mutation;
import org.cicadalead.adapters.membership.MoveSimulationStep.Kind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class MoveLoopFuzzTest {
    private static final int MUTATION_RUNS = 3_000;
    private static final int MUTATION_STEPS = 80;
    private static final List<Kind> WEIGHTED_KINDS = createWeightedKinds();

    @Property(seed = "5101", tries = 800)
    void sendsNoWorkOfOldPoolAfterAssignment(@ForAll("runs") List<MoveSimulationStep> steps) {
        MoveSimulation simulation = runSteps(Mutation.NONE, steps);
        simulation.recover();
        MoveOracle.checkNoUnfinishedMoves(simulation.committedState());
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void oracleDetectsEachMutation(Mutation mutation) {
        Random random = new Random(7);
        assertThrows(AssertionError.class, () -> {
            for (int count = 0; count < MUTATION_RUNS; count++) {
                runSteps(mutation, randomSteps(random));
            }
        });
    }

    @Provide
    Arbitrary<List<MoveSimulationStep>> runs() {
        Arbitrary<Kind> kinds = Arbitraries.of(WEIGHTED_KINDS);
        Arbitrary<Integer> numbers = Arbitraries.integers().between(0, 11);
        return Combinators.combine(kinds, numbers, numbers)
                .as(MoveSimulationStep::new)
                .list()
                .ofMinSize(10)
                .ofMaxSize(120);
    }

    private static MoveSimulation runSteps(Mutation mutation, List<MoveSimulationStep> steps) {
        MoveSimulation simulation = new MoveSimulation(mutation);
        steps.forEach(step -> step.applyTo(simulation));
        return simulation;
    }

    private static List<MoveSimulationStep> randomSteps(Random random) {
        List<MoveSimulationStep> steps = new ArrayList<>();
        for (int count = 0; count < MUTATION_STEPS; count++) {
            Kind kind = WEIGHTED_KINDS.get(random.nextInt(WEIGHTED_KINDS.size()));
            steps.add(new MoveSimulationStep(kind, random.nextInt(12), random.nextInt(12)));
        }
        return steps;
    }

    private static List<Kind> createWeightedKinds() {
        List<Kind> kinds = new ArrayList<>();
        for (var entry : List.of(
                Tuple.of(Kind.PASS, 12),
                Tuple.of(Kind.PASS_LONG, 8),
                Tuple.of(Kind.CHOOSE, 14),
                Tuple.of(Kind.PROCEED, 20),
                Tuple.of(Kind.WITHDRAW, 6),
                Tuple.of(Kind.CANCEL, 1),
                Tuple.of(Kind.PAUSE, 3),
                Tuple.of(Kind.RESUME, 4),
                Tuple.of(Kind.KILL, 1),
                Tuple.of(Kind.REPLACE, 1),
                Tuple.of(Kind.CUT, 2),
                Tuple.of(Kind.CUT_LOG, 3),
                Tuple.of(Kind.CUT_ZONES, 3),
                Tuple.of(Kind.HEAL, 3),
                Tuple.of(Kind.HOLD_MESSAGES, 1),
                Tuple.of(Kind.RELEASE_MESSAGES, 1),
                Tuple.of(Kind.RELAY, 2))) {
            for (int count = 0; count < entry.get2(); count++) {
                kinds.add(entry.get1());
            }
        }
        return kinds;
    }
}
