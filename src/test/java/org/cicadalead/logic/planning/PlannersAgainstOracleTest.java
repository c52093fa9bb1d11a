package org.cicadalead.logic.planning;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class PlannersAgainstOracleTest {
    private static final int MAX_HISTORY_STEPS = 120;
    private static final int MUTATION_TRIES = 60;
    private static final int MUTATION_SEED = 7;

    @Provide
    Arbitrary<List<FleetStep>> histories() {
        return FleetStep.histories(MAX_HISTORY_STEPS);
    }

    @Property(tries = 150, seed = "20261203", shrinking = ShrinkingMode.BOUNDED)
    void keepsEveryBudgetInEveryHistory(@ForAll("histories") List<FleetStep> history) {
        replay(FleetMutation.NONE, history);
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void detectsEachFoldMutation(FleetMutation mutation) {
        Random random = new Random(MUTATION_SEED);
        assertThrows(AssertionError.class, () -> {
            for (int count = 0; count < MUTATION_TRIES; count++) {
                List<FleetStep> history = IntStream.range(0, MAX_HISTORY_STEPS)
                        .mapToObj(unused -> FleetStep.random(random))
                        .toList();
                replay(mutation, history);
            }
        });
    }

    private static void replay(FleetMutation mutation, List<FleetStep> history) {
        FleetSimulation simulation = new FleetSimulation(mutation);
        history.forEach(simulation::applyStep);
    }
}
