package org.cicadalead.logic.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.cicadalead.model.work.QueueTerms;
import org.cicadalead.model.work.StepSpecification;
import org.cicadalead.model.work.WorkSubmission;
import org.junit.jupiter.api.Test;

class JobAdmissionTest {
    private static WorkSubmission job(int repetitions, List<StepSpecification> steps) {
        return new WorkSubmission(
                "job",
                "queue",
                WorkFixtures.BUSY,
                new QueueTerms(0, 3, 1.6, 600, Optional.empty()),
                "run",
                steps,
                repetitions,
                0,
                1_000,
                0);
    }

    private static List<StepSpecification> steps(int count, int tasks) {
        return Collections.nCopies(count, WorkFixtures.step(tasks, 1_000, 500));
    }

    @Test
    void admitsJobsOfSomeHundredTasks() {
        assertTrue(JobAdmission.canEverFit(job(0, steps(20, 50))));
        assertTrue(JobAdmission.canEverFit(job(0, steps(1, JobAdmission.MAX_TASKS_PER_STEP))));
    }

    @Test
    void fitsSeveralOfTheLargestJobsTogether() {
        WorkSubmission largest = job(0, steps(2, JobAdmission.MAX_TASKS_PER_STEP));
        assertTrue(JobAdmission.canEverFit(largest));
        AcceptedWeight weight = new AcceptedWeight();
        int accepted = 0;
        for (long now = 0; weight.tryAccept(JobAdmission.weigh(largest), now); now += 5_000) {
            accepted++;
            weight.onReport(accepted * JobAdmission.weigh(largest), now + 3_000);
        }
        assertEquals(5, accepted);
    }

    @Test
    void rejectsJobWhoseTasksOfAllStepsTogetherAreTooMany() {
        assertFalse(JobAdmission.canEverFit(job(0, steps(60, 10_000))));
        assertFalse(JobAdmission.canEverFit(job(0, steps(1, JobAdmission.MAX_TASKS_PER_STEP + 1))));
        assertFalse(JobAdmission.canEverFit(job(0, steps(20_000, 1))));
    }

    @Test
    void rejectsJobWhoseTasksOfAllOccurrencesTogetherAreTooMany() {
        assertTrue(JobAdmission.canEverFit(job(100, steps(1, 100))));
        assertFalse(JobAdmission.canEverFit(job(1_000, steps(1, 100))));
        assertFalse(JobAdmission.canEverFit(job(Integer.MAX_VALUE, steps(60, 10_000))));
        assertFalse(JobAdmission.canKeep(job(Integer.MAX_VALUE, steps(60, 10_000))));
    }

    @Test
    void keepsStoredJobWhoseTasksBeginOneByOne() {
        assertTrue(JobAdmission.canKeep(job(0, steps(60, 10_000))));
        assertFalse(JobAdmission.canKeep(
                job(0, Collections.nCopies(3, WorkFixtures.longRunningStep(JobAdmission.MAX_TASKS_PER_STEP, 0)))));
    }

    @Test
    void countsEndedJobOnlyAsWhatItStillHas() {
        WorkScheduler scheduler = WorkFixtures.scheduler();
        scheduler.addJob(job(0, steps(2, 10_000)), WorkFixtures.at(0));
        assertEquals(JobAdmission.weigh(job(0, steps(2, 10_000))), scheduler.weighOpenJobs());
        scheduler.cancelJob("job", WorkFixtures.at(10));
        assertTrue(scheduler.weighOpenJobs() < 10_000, "weight " + scheduler.weighOpenJobs());
    }
}
