package org.cicadalead.adapters.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.cicadalead.adapters.standin.JobExecutionCounts;
import org.cicadalead.model.identity.JobIdentifier;
import org.cicadalead.model.job.JobPhase;
import org.cicadalead.model.job.JobState;

/** Checks the invariants of long jobs at the end of a simulation, one method per invariant. */
final class JobOracle {
    private JobOracle() {}

    static void check(JobSimulation simulation) {
        checkEveryAcceptedJobEnds(simulation);
        checkOutcomesNeverChange(simulation);
        checkNonIdempotentJobsRunOnceAtATime(simulation);
        checkFinishedJobsFinished(simulation);
        checkCancelledJobsDidNotFinish(simulation);
        checkFailedJobsDidNotFinish(simulation);
        checkReplicasAreEqual(simulation);
    }

    private static void checkEveryAcceptedJobEnds(JobSimulation simulation) {
        assertEquals(
                List.of(),
                List.copyOf(simulation.committedState().jobs().unfinished().values()));
        simulation
                .submitted
                .keySet()
                .forEach(job -> assertTrue(simulation.firstOutcomes.containsKey(job), job + " has no outcome"));
    }

    private static void checkOutcomesNeverChange(JobSimulation simulation) {
        assertEquals(List.of(), simulation.changedOutcomes);
    }

    private static void checkNonIdempotentJobsRunOnceAtATime(JobSimulation simulation) {
        simulation.tasks.executionCounts().forEach((job, account) -> {
            if (!simulation.submitted.get(job).idempotent()) {
                assertTrue(account.maximumConcurrent() <= 1, job + " had concurrent runs");
                assertEquals(0, account.startsAfterFinish(), job + " ran again after its end");
                assertTrue(account.finishes() <= 1, job + " finished twice");
            }
        });
    }

    private static void checkFinishedJobsFinished(JobSimulation simulation) {
        simulation.firstOutcomes.forEach((job, outcome) -> {
            if (outcome.phase() == JobPhase.FINISHED) {
                assertTrue(
                        countFinishes(simulation, job) >= 1,
                        job + " is reported as finished but its task never finished");
            }
        });
    }

    private static void checkCancelledJobsDidNotFinish(JobSimulation simulation) {
        simulation.firstOutcomes.forEach((job, outcome) -> {
            if (outcome.phase() == JobPhase.CANCELLED
                    && !simulation.submitted.get(job).idempotent()) {
                assertEquals(0, countFinishes(simulation, job), job + " finished but is reported as cancelled");
            }
        });
    }

    private static void checkFailedJobsDidNotFinish(JobSimulation simulation) {
        simulation.firstOutcomes.forEach((job, outcome) -> {
            if (outcome.phase() == JobPhase.FAILED) {
                assertEquals(0, countFinishes(simulation, job), job + " finished but is reported as failed");
                assertTrue(
                        outcome.failedAttempts() <= JobState.MAX_ATTEMPTS,
                        job + " exceeded the maximum number of attempts");
            }
        });
    }

    private static void checkReplicasAreEqual(JobSimulation simulation) {
        simulation.replicas().forEach(replica -> assertEquals(simulation.committedState(), replica));
    }

    private static int countFinishes(JobSimulation simulation, JobIdentifier job) {
        JobExecutionCounts account = simulation.tasks.executionCounts().get(job);
        return account == null ? 0 : account.finishes();
    }
}
