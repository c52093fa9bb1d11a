package org.cicadalead.logic.planning;

import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/**
 * One step of a generated command history.
 *
 * @param kind kind of the step
 * @param first number that selects a host, rack, process or service
 * @param second number that selects a pool, a value or the age of the view
 */
record FleetStep(Kind kind, int first, int second) {
    private static final int MAX_PICK = 96;

    enum Kind {
        HOST_FAILS,
        RACK_FAILS,
        HOST_RETURNS,
        HOST_LEAVES,
        PLAN,
        PLAN_AGAIN,
        CONFIRM_DRAINS,
        ACKNOWLEDGE,
        ASSIGN,
        UNPLANNED_GRANT,
        UNPLANNED_WITHDRAW,
        UNPLANNED_ADVANCE,
        START_WAVE,
        CHANGE_WAVE,
        PUBLISH_BUDGET,
        JOIN,
        LEAVE
    }

    static FleetStep random(Random random) {
        List<Kind> kinds = List.of(Kind.values());
        Kind kind = kinds.get(random.nextInt(kinds.size()));
        return new FleetStep(kind, random.nextInt(MAX_PICK), random.nextInt(MAX_PICK));
    }

    static Arbitrary<List<FleetStep>> histories(int maxSteps) {
        Arbitrary<Integer> picks = Arbitraries.integers().between(0, MAX_PICK).withoutEdgeCases();
        return Combinators.combine(Arbitraries.of(Kind.class), picks, picks)
                .as(FleetStep::new)
                .list()
                .ofMinSize(maxSteps / 2)
                .ofMaxSize(maxSteps);
    }
}
