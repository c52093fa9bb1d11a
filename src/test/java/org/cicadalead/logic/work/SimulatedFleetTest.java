package org.cicadalead.logic.work;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.cicadalead.model.work.StepSpecification;
import org.cicadalead.model.work.WorkPhase;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SimulatedFleetTest {
    private static final long FIRST_SEED = Long.getLong("cicadalead.work.seed", 1);
    private static final int RUNS = Integer.getInteger("cicadalead.work.runs", 60);

    static StepSpecification step(int tasks, List<Integer> dependsOn) {
        return new StepSpecification(
                tasks,
                SimulatedHost.TASK_MILLICORES,
                100,
                0,
                1_000,
                dependsOn,
                false,
                false,
                false,
                Optional.empty(),
                Optional.empty(),
                0,
                false,
                false,
                Optional.empty(),
                0,
                false,
                0);
    }

    @Test
    void completesAllJobsWithoutFaults() {
        SimulatedFleet fleet = new SimulatedFleet(1, SimulatedFleet.Faults.NONE, 4);
        fleet.beginTerm();
        for (int number = 0; number < 10; number++) {
            fleet.submit("job-" + number, List.of(step(3, List.of()), step(2, List.of(0))));
        }
        fleet.runFor(30_000);
        assertEquals(List.of(), fleet.violations);
        assertEquals(10, fleet.completed.size());
    }

    @Test
    void stopsTasksOfCancelledJob() {
        SimulatedFleet fleet = new SimulatedFleet(2, SimulatedFleet.Faults.NONE, 2);
        fleet.beginTerm();
        fleet.submit("job", List.of(step(4, List.of())));
        fleet.runFor(300);
        fleet.cancel("job");
        fleet.runFor(3_000);
        assertEquals(Optional.of(WorkPhase.CANCELED), fleet.phaseOf("job"));
        assertEquals(
                0,
                fleet.host("host-0").running().size()
                        + fleet.host("host-1").running().size());
    }

    @Test
    void adoptsActiveRunsAfterTakeover() {
        SimulatedFleet fleet = new SimulatedFleet(3, SimulatedFleet.Faults.NONE, 2);
        fleet.beginTerm();
        fleet.submit("job", List.of(step(4, List.of())));
        fleet.runFor(300);
        fleet.beginTerm();
        fleet.runFor(5_000);
        assertEquals(List.of(), fleet.violations);
        assertEquals(Optional.of(WorkPhase.COMPLETED), fleet.phaseOf("job"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"takeovers", "hosts", "orders", "store", "all"})
    void keepsInvariantsUnderFaults(String kind) {
        List<String> found = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
            found.addAll(simulate(seed, faults(kind)));
        }
        assertEquals(List.of(), found);
    }

    private static SimulatedFleet.Faults faults(String kind) {
        return switch (kind) {
            case "takeovers" -> new SimulatedFleet.Faults(0, 0, 0, 0.1, 0.2, 0, 0, 0);
            case "hosts" -> new SimulatedFleet.Faults(0, 0, 0.2, 0.2, 0, 0, 0.1, 0.1);
            case "orders" -> new SimulatedFleet.Faults(0.1, 0.1, 0, 0, 0, 0, 0, 0);
            case "store" -> new SimulatedFleet.Faults(0, 0, 0.1, 0, 0.1, 0.3, 0, 0);
            default -> SimulatedFleet.Faults.ALL;
        };
    }

    private static List<String> simulate(long seed, SimulatedFleet.Faults faults) {
        Random random = new Random(seed);
        SimulatedFleet fleet = new SimulatedFleet(seed, faults, 3 + random.nextInt(4));
        fleet.beginTerm();
        for (int number = 0; number < 30; number++) {
            List<StepSpecification> steps = new ArrayList<>();
            steps.add(step(1 + random.nextInt(5), List.of()));
            if (random.nextBoolean()) {
                steps.add(step(1 + random.nextInt(4), List.of(0)));
            }
            fleet.submit("job-" + number, steps);
            if (random.nextInt(12) == 0) {
                fleet.cancel("job-" + random.nextInt(number + 1));
            }
            fleet.runFor(random.nextInt(1_500));
        }
        fleet.runFor(20_000);
        return fleet.violations.stream()
                .map(violation -> "seed " + seed + ", " + violation)
                .toList();
    }
}
