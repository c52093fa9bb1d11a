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
    private static final int LARGEST_NUMBER = 59;
    private static final int MUTATION_HISTORIES = 400;
    private static final int MUTATION_STEPS = 250;

    @Property(seed = "4031", tries = 300)
    void everyHistoryKeepsThePromises(@ForAll("histories") List<JobWorldStep> steps) {
        run(steps, JobWorldFaults.NONE);
    }

    @ParameterizedTest
    @EnumSource(value = JobWorldFaults.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void catchesEveryMutation(JobWorldFaults faults) {
        boolean caught = false;
        for (int seed = 0; seed < MUTATION_HISTORIES && !caught; seed++) {
            caught = isCaught(randomHistory(seed), faults);
        }
        assertTrue(caught, "No history showed " + faults);
    }

    private static boolean isCaught(List<JobWorldStep> steps, JobWorldFaults faults) {
        try {
            run(steps, faults);
            return false;
        } catch (AssertionError expected) {
            return true;
        }
    }

    private static void run(List<JobWorldStep> steps, JobWorldFaults faults) {
        JobWorld world = new JobWorld(faults);
        steps.forEach(world::apply);
        world.heal();
        JobOracle.check(world);
    }

    @Provide
    Arbitrary<List<JobWorldStep>> histories() {
        Arbitrary<JobWorldStep.Kind> usual = Arbitraries.frequencyOf(
                Tuple.of(5, Arbitraries.of(usualKinds())), Tuple.of(2, Arbitraries.of(JobWorldStep.Kind.values())));
        return Combinators.combine(usual, Arbitraries.integers().between(0, LARGEST_NUMBER))
                .as(JobWorldStep::new)
                .list()
                .ofMinSize(20)
                .ofMaxSize(MUTATION_STEPS);
    }

    private static List<JobWorldStep> randomHistory(long seed) {
        Random random = new Random(seed);
        List<JobWorldStep> steps = new ArrayList<>();
        for (int count = 0; count < MUTATION_STEPS; count++) {
            JobWorldStep.Kind[] all = JobWorldStep.Kind.values();
            JobWorldStep.Kind kind = random.nextInt(7) < 5
                    ? usualKinds().get(random.nextInt(usualKinds().size()))
                    : all[random.nextInt(all.length)];
            steps.add(new JobWorldStep(kind, random.nextInt(LARGEST_NUMBER + 1)));
        }
        return steps;
    }

    private static List<JobWorldStep.Kind> usualKinds() {
        return List.of(
                JobWorldStep.Kind.ADVANCE,
                JobWorldStep.Kind.RUN_PROCESS,
                JobWorldStep.Kind.RUN_PROCESS,
                JobWorldStep.Kind.READ_ALL_RECORDS,
                JobWorldStep.Kind.READ_ALL_RECORDS,
                JobWorldStep.Kind.SUBMIT);
    }
}
