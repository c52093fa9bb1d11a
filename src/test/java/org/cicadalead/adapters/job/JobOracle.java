package org.cicadalead.adapters.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.cicadalead.adapters.standin.TaskAccount;
import org.cicadalead.model.identity.JobIdentifier;
import org.cicadalead.model.job.JobPhase;
import org.cicadalead.model.job.JobState;

/** What must hold of long jobs, whatever happens; one method for each promise. */
final class JobOracle {
    private JobOracle() {}

    static void check(JobSimulation world) {
        checkEveryAcceptedJobEnds(world);
        checkOutcomesNeverChange(world);
        checkNonIdempotentJobsRunOnceAtATime(world);
        checkFinishedJobsFinished(world);
        checkCancelledJobsDidNotFinish(world);
        checkFailedJobsDidNotFinish(world);
        checkReplicasAreEqual(world);
    }

    private static void checkEveryAcceptedJobEnds(JobSimulation world) {
        assertEquals(
                List.of(),
                List.copyOf(world.committedState().jobs().unfinished().values()));
        world.submitted.keySet().forEach(job -> assertTrue(world.firstOutcomes.containsKey(job), job + " was lost"));
    }

    private static void checkOutcomesNeverChange(JobSimulation world) {
        assertEquals(List.of(), world.changedOutcomes);
    }

    private static void checkNonIdempotentJobsRunOnceAtATime(JobSimulation world) {
        world.tasks.accounts().forEach((job, account) -> {
            if (!world.submitted.get(job).idempotent()) {
                assertTrue(account.mostAtOnce() <= 1, job + " ran twice at once");
                assertEquals(0, account.startsAfterFinish(), job + " ran again after its end");
                assertTrue(account.finishes() <= 1, job + " finished twice");
            }
        });
    }

    private static void checkFinishedJobsFinished(JobSimulation world) {
        world.firstOutcomes.forEach((job, end) -> {
            if (end.phase() == JobPhase.FINISHED) {
                assertTrue(countFinishes(world, job) >= 1, job + " never finished");
            }
        });
    }

    private static void checkCancelledJobsDidNotFinish(JobSimulation world) {
        world.firstOutcomes.forEach((job, end) -> {
            if (end.phase() == JobPhase.CANCELLED && !world.submitted.get(job).idempotent()) {
                assertEquals(0, countFinishes(world, job), job + " finished and was called cancelled");
            }
        });
    }

    private static void checkFailedJobsDidNotFinish(JobSimulation world) {
        world.firstOutcomes.forEach((job, end) -> {
            if (end.phase() == JobPhase.FAILED) {
                assertEquals(0, countFinishes(world, job), job + " finished and was called failed");
                assertTrue(end.failedAttempts() <= JobState.MAX_ATTEMPTS, job + " was tried without a bound");
            }
        });
    }

    private static void checkReplicasAreEqual(JobSimulation world) {
        world.replicas().forEach(replica -> assertEquals(world.committedState(), replica));
    }

    private static int countFinishes(JobSimulation world, JobIdentifier job) {
        TaskAccount account = world.tasks.accounts().get(job);
        return account == null ? 0 : account.finishes();
    }
}
