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

    static void check(JobWorld world) {
        everyAcceptedJobGetsAnAnswer(world);
        noAnswerEverChanges(world);
        aNonIdempotentJobRunsOnceAtATimeAndNeverAfterItsEnd(world);
        aFinishedJobReallyFinished(world);
        aCancelledJobDidNotFinish(world);
        aJobIsGivenUpOnlyAfterItFailed(world);
        everyProcessSeesTheSame(world);
    }

    private static void everyAcceptedJobGetsAnAnswer(JobWorld world) {
        assertEquals(List.of(), List.copyOf(world.truth().jobs().unfinished().values()));
        world.submitted.keySet().forEach(job -> assertTrue(world.firstEnds.containsKey(job), job + " was lost"));
    }

    private static void noAnswerEverChanges(JobWorld world) {
        assertEquals(List.of(), world.changedEnds);
    }

    private static void aNonIdempotentJobRunsOnceAtATimeAndNeverAfterItsEnd(JobWorld world) {
        world.tasks.accounts().forEach((job, account) -> {
            if (!world.submitted.get(job).idempotent()) {
                assertTrue(account.mostAtOnce() <= 1, job + " ran twice at once");
                assertEquals(0, account.startsAfterFinish(), job + " ran again after its end");
                assertTrue(account.finishes() <= 1, job + " finished twice");
            }
        });
    }

    private static void aFinishedJobReallyFinished(JobWorld world) {
        world.firstEnds.forEach((job, end) -> {
            if (end.phase() == JobPhase.FINISHED) {
                assertTrue(finishes(world, job) >= 1, job + " never finished");
            }
        });
    }

    private static void aCancelledJobDidNotFinish(JobWorld world) {
        world.firstEnds.forEach((job, end) -> {
            if (end.phase() == JobPhase.CANCELLED && !world.submitted.get(job).idempotent()) {
                assertEquals(0, finishes(world, job), job + " finished and was called cancelled");
            }
        });
    }

    private static void aJobIsGivenUpOnlyAfterItFailed(JobWorld world) {
        world.firstEnds.forEach((job, end) -> {
            if (end.phase() == JobPhase.FAILED) {
                assertEquals(0, finishes(world, job), job + " finished and was called failed");
                assertTrue(end.failedAttempts() <= JobState.MAXIMUM_ATTEMPTS, job + " was tried without a bound");
            }
        });
    }

    private static void everyProcessSeesTheSame(JobWorld world) {
        world.replicas().forEach(replica -> assertEquals(world.truth(), replica));
    }

    private static int finishes(JobWorld world, JobIdentifier job) {
        TaskAccount account = world.tasks.accounts().get(job);
        return account == null ? 0 : account.finishes();
    }
}
