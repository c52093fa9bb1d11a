package org.cicadalead.logic.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cicadalead.model.work.EndedRun;
import org.cicadalead.model.work.RunEnding;
import org.cicadalead.model.work.WorkPhase;
import org.cicadalead.model.work.WorkProgress;
import org.junit.jupiter.api.Test;

class JobRetentionTest {
    private static final String JOB = "job";
    private static final long ENDED_AT = 400_000;

    @Test
    void keepsJobOfEarlierTermForRetentionTimeAfterItsEnd() {
        WorkScheduler scheduler = schedulerWithRestoredJob();
        endJob(scheduler);
        assertTrue(findRemovedJobs(scheduler, ENDED_AT + 299_000).isEmpty());
        assertEquals(Optional.of(WorkPhase.COMPLETED), scheduler.findPhase(JOB));
        assertEquals(List.of(JOB), findRemovedJobs(scheduler, ENDED_AT + 301_000));
        assertEquals(Optional.empty(), scheduler.findPhase(JOB));
    }

    private static WorkScheduler schedulerWithRestoredJob() {
        WorkScheduler scheduler = WorkFixtures.scheduler(WorkFixtures.host("host", WorkFixtures.BUSY, "rack"));
        scheduler.addJob(
                WorkFixtures.job(JOB, WorkFixtures.BUSY, 0, WorkFixtures.step(1, 1_000, 500_000)), WorkFixtures.at(0));
        scheduler.restoreProgress(
                new WorkProgress(JOB, 1, WorkPhase.RUNNING, Map.of(), Map.of(), Map.of(), Map.of(), Map.of()),
                WorkFixtures.at(1));
        return scheduler;
    }

    private static void endJob(WorkScheduler scheduler) {
        List<WorkOrder.Start> starts = WorkFixtures.startsIn(WorkFixtures.decide(scheduler, WorkFixtures.at(2), 0));
        WorkFixtures.confirmStarts(scheduler, starts, 3);
        EndedRun end = new EndedRun(1, starts.get(0).run(), RunEnding.DONE, "");
        WorkFixtures.replyToPoll(scheduler, "host", ENDED_AT, List.of(), List.of(end));
        for (WorkOrder order : scheduler.decide(WorkFixtures.at(ENDED_AT + 1), 0)) {
            if (order instanceof WorkOrder.Persist persist) {
                scheduler.onBatchResult(persist.batch(), true);
            }
        }
        assertEquals(List.of(), findRemovedJobs(scheduler, ENDED_AT + 100));
    }

    private static List<String> findRemovedJobs(WorkScheduler scheduler, long now) {
        List<String> removed = new ArrayList<>();
        for (WorkOrder order : scheduler.decide(WorkFixtures.at(now), 0)) {
            if (order instanceof WorkOrder.RemoveJobs removal) {
                removed.addAll(removal.jobs());
            }
        }
        return removed;
    }
}
