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
    private static final int LONGEST_HISTORY = 120;
    private static final int MUTATION_TRIES = 60;
    private static final int MUTATION_SEED = 7;

    @Provide
    Arbitrary<List<FleetStep>> histories() {
        return FleetStep.histories(LONGEST_HISTORY);
    }

    @Property(tries = 150, seed = "20261203", shrinking = ShrinkingMode.BOUNDED)
    void plannedWorkKeepsEveryBudgetInEveryHistory(@ForAll("histories") List<FleetStep> history) {
        play(FleetMutation.NONE, history);
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void theOracleCatchesEachFaultOfTheFold(FleetMutation mutation) {
        Random random = new Random(MUTATION_SEED);
        assertThrows(AssertionError.class, () -> {
            for (int count = 0; count < MUTATION_TRIES; count++) {
                List<FleetStep> history = IntStream.range(0, LONGEST_HISTORY)
                        .mapToObj(unused -> FleetStep.random(random))
                        .toList();
                play(mutation, history);
            }
        });
    }

    private static void play(FleetMutation mutation, List<FleetStep> history) {
        FleetWorld world = new FleetWorld(mutation);
        history.forEach(world::play);
    }
}
