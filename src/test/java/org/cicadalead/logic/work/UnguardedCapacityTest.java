package org.cicadalead.logic.work;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.cicadalead.model.work.HostCapacity;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Hosts that start whatever they are told to, and whose capacity changes while they run. */
class UnguardedCapacityTest {
    private static final long FIRST_SEED = Long.getLong("cicadalead.work.seed", 1);
    private static final int RUNS = Integer.getInteger("cicadalead.work.runs", 30);
    private static final long STOP_MILLISECONDS = 900;
    private static final long CAPACITY_INTERVAL_MILLISECONDS = 6_000;

    @ParameterizedTest
    @ValueSource(strings = {"planned", "takeovers", "successions", "pauses", "orders", "store", "zones", "mixed"})
    void startsNoRunOverTheCapacityOfAHostThatRejectsNone(String kind) {
        List<String> findings = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
            for (String violation : play(kind, seed).oracle.violations) {
                if (violation.contains("over its capacity")) {
                    findings.add("seed " + seed + ", " + violation);
                }
            }
        }
        assertEquals(List.of(), findings);
    }

    private static SimulatedFleet play(String kind, long seed) {
        Random random = new Random(seed);
        SimulatedFleet fleet = new SimulatedFleet(seed, FleetFaults.of(kind), List.of("service"), 5);
        fleet.hosts().forEach(host -> {
            host.guardsCapacity = false;
            host.stopMilliseconds = STOP_MILLISECONDS;
        });
        fleet.beginTerm();
        long nextChangeAt = CAPACITY_INTERVAL_MILLISECONDS;
        for (int number = 0; number < 60; number++) {
            fleet.submit(
                    "job-" + number, "service", List.of(SimulatedFleetTest.step(2 + random.nextInt(8), List.of())));
            if (random.nextInt(4) == 0) {
                fleet.cancel("job-" + random.nextInt(number + 1));
            }
            if (fleet.now() >= nextChangeAt) {
                nextChangeAt += CAPACITY_INTERVAL_MILLISECONDS;
                changeCapacities(fleet, random);
            }
            fleet.runFor(random.nextInt(700));
        }
        return fleet;
    }

    private static void changeCapacities(SimulatedFleet fleet, Random random) {
        for (SimulatedHost host : fleet.hosts()) {
            long milliCores = (1 + random.nextInt(6)) * SimulatedHost.TASK_MILLICORES;
            host.changeCapacity(new HostCapacity(milliCores, host.capacity.memoryMegabytes(), 0), fleet.now());
        }
    }
}
