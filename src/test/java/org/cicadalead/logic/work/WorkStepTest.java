package org.cicadalead.logic.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.cicadalead.model.work.StepSpecification;
import org.cicadalead.model.work.WorkPhase;
import org.cicadalead.model.work.WorkProgress;
import org.junit.jupiter.api.Test;

/** Tests which tasks of a step are kept as objects. */
class WorkStepTest {
    private static final int TASKS_PER_STEP = 10_000;
    private static final int STEPS = 60;

    @Test
    void keepsNoObjectsForTasksThatHaveNotBegun() {
        WorkScheduler scheduler = WorkFixtures.scheduler();
        WorkJob job = new WorkJob(WorkFixtures.job("large", WorkFixtures.BUSY, 0, steps()), 0);
        job.openDueOccurrences(0);
        scheduler.addJob(job.submission, WorkFixtures.at(0));

        assertEquals(STEPS, job.openSteps().size());
        assertEquals(0, countKept(job));
        assertEquals(
                STEPS * TASKS_PER_STEP,
                job.openSteps().stream().mapToInt(step -> step.waitingTasks).sum());
    }

    @Test
    void keepsNoObjectsForTasksThatAreDone() {
        WorkJob job = new WorkJob(
                WorkFixtures.job("large", WorkFixtures.BUSY, 0, WorkFixtures.step(TASKS_PER_STEP, 1_000, 500)), 0);
        job.openDueOccurrences(0);
        WorkStep step = job.allSteps().get(0);

        for (int index = 0; index < TASKS_PER_STEP - 1; index++) {
            step.finish(step.task(index));
        }

        assertEquals(0, countKept(job));
        assertEquals(1, step.remainingTasks());
        assertTrue(step.task(0).done);
        assertEquals(TASKS_PER_STEP - 1, step.nextWaiting(0));
    }

    @Test
    void restoresProgressOfLargeJobWithoutObjectsForItsDoneTasks() {
        WorkJob job = new WorkJob(WorkFixtures.job("large", WorkFixtures.BUSY, 0, steps()), 0);
        job.openDueOccurrences(0);
        List<Integer> done = IntStream.range(0, TASKS_PER_STEP).boxed().toList();

        job.restore(new WorkProgress(
                "large",
                1,
                WorkPhase.RUNNING,
                Map.of("0.0", done, "0.1", List.of(7, TASKS_PER_STEP, -1)),
                Map.of("0.1.8", List.of(3L)),
                Map.of("0.1.8", 3L, "0.99.1", 4L, "unreadable", 5L),
                Map.of("0.2.5", "saved"),
                Map.of()));

        assertEquals(STEPS - 1, job.openSteps().size());
        assertEquals(2, countKept(job));
        assertEquals(3L, job.findTask(0, 1, 8).highestEndedAttempt);
        assertEquals("saved", job.findTask(0, 2, 5).checkpoint);
        assertEquals(
                Map.of("0.0", done, "0.1", List.of(7)), job.createProgress(2).done());
    }

    private static int countKept(WorkJob job) {
        return job.allSteps().stream().mapToInt(step -> step.keptTasks().size()).sum();
    }

    private static StepSpecification[] steps() {
        List<StepSpecification> steps = new ArrayList<>();
        for (int number = 0; number < STEPS; number++) {
            steps.add(WorkFixtures.step(TASKS_PER_STEP, 1_000, 500));
        }
        return steps.toArray(StepSpecification[]::new);
    }
}
