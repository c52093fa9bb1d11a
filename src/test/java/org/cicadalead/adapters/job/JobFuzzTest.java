package org.cicadalead.adapters.job;

import static org.junit.jupiter.api.Assertions.assertTrue;

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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class JobFuzzTest {
    private static final int MAX_NUMBER = 59;
    private static final int MUTATION_HISTORIES = 400;
    private static final int MUTATION_STEPS = 250;

    @Property(seed = "4031", tries = 300)
    void upholdsInvariantsInEveryHistory(@ForAll("histories") List<JobSimulationStep> steps) {
        run(steps, JobSimulationMutation.NONE);
    }

    @ParameterizedTest
    @EnumSource(value = JobSimulationMutation.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void detectsEveryMutation(JobSimulationMutation mutation) {
        boolean detected = false;
        for (int seed = 0; seed < MUTATION_HISTORIES && !detected; seed++) {
            detected = isDetected(randomHistory(seed), mutation);
        }
        assertTrue(detected, "No history detected the mutation " + mutation);
    }

    private static boolean isDetected(List<JobSimulationStep> steps, JobSimulationMutation mutation) {
        try {
            run(steps, mutation);
            return false;
        } catch (AssertionError expected) {
            return true;
        }
    }

    private static void run(List<JobSimulationStep> steps, JobSimulationMutation mutation) {
        JobSimulation simulation = new JobSimulation(mutation);
        steps.forEach(simulation::apply);
        simulation.recover();
        JobOracle.check(simulation);
    }

    @Provide
    Arbitrary<List<JobSimulationStep>> histories() {
        Arbitrary<JobSimulationStep.Kind> kinds = Arbitraries.frequencyOf(
                Tuple.of(5, Arbitraries.of(usualKinds())),
                Tuple.of(2, Arbitraries.of(JobSimulationStep.Kind.values())));
        return Combinators.combine(kinds, Arbitraries.integers().between(0, MAX_NUMBER))
                .as(JobSimulationStep::new)
                .list()
                .ofMinSize(20)
                .ofMaxSize(MUTATION_STEPS);
    }

    private static List<JobSimulationStep> randomHistory(long seed) {
        Random random = new Random(seed);
        List<JobSimulationStep> steps = new ArrayList<>();
        for (int count = 0; count < MUTATION_STEPS; count++) {
            JobSimulationStep.Kind[] allKinds = JobSimulationStep.Kind.values();
            JobSimulationStep.Kind kind = random.nextInt(7) < 5
                    ? usualKinds().get(random.nextInt(usualKinds().size()))
                    : allKinds[random.nextInt(allKinds.length)];
            steps.add(new JobSimulationStep(kind, random.nextInt(MAX_NUMBER + 1)));
        }
        return steps;
    }

    private static List<JobSimulationStep.Kind> usualKinds() {
        return List.of(
                JobSimulationStep.Kind.ADVANCE,
                JobSimulationStep.Kind.RUN_PROCESS,
                JobSimulationStep.Kind.RUN_PROCESS,
                JobSimulationStep.Kind.READ_ALL_RECORDS,
                JobSimulationStep.Kind.READ_ALL_RECORDS,
                JobSimulationStep.Kind.SUBMIT);
    }
}
