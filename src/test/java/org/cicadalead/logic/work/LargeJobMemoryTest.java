package org.cicadalead.logic.work;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cicadalead.model.work.StepSpecification;
import org.cicadalead.model.work.WorkPhase;
import org.cicadalead.model.work.WorkProgress;
import org.cicadalead.model.work.WorkSubmission;
import org.junit.jupiter.api.Test;

/** Tests that memory grows by the tasks that run, not by those that a job declares. */
class LargeJobMemoryTest {
    private static final int TASKS_PER_STEP = 10_000;
    private static final int STEPS = 60;
    private static final long MAX_ALLOCATED_BYTES = 4 << 20;

    /** Guards against leaders that run out of memory when they read one job of 600,000 tasks. */
    @Test
    void endsNoLeaderByReadingJobOfManyTasks() {
        WorkScheduler scheduler = WorkFixtures.scheduler(WorkFixtures.host("host-1", WorkFixtures.BUSY, "rack-1"));
        WorkSubmission job = largeJob();

        long allocated = measureAllocation(() -> {
            scheduler.addJob(job, WorkFixtures.at(0));
            scheduler.decide(WorkFixtures.at(100), 0);
        });

        assertTrue(allocated < MAX_ALLOCATED_BYTES, "allocated " + allocated + " bytes");
    }

    /** Guards against the same at a takeover, when most of the tasks are done. */
    @Test
    void endsNoSuccessorByRestoringJobOfManyTasks() {
        WorkScheduler scheduler = WorkFixtures.scheduler();
        List<Integer> done = IntStream.range(0, TASKS_PER_STEP).boxed().toList();
        WorkProgress progress = new WorkProgress(
                "large", 1, WorkPhase.RUNNING, Map.of("0.0", done), Map.of(), Map.of(), Map.of(), Map.of());

        long allocated = measureAllocation(() -> {
            scheduler.addJob(largeJob(), WorkFixtures.at(0));
            scheduler.restoreProgress(progress, WorkFixtures.at(0));
        });

        assertTrue(allocated < 2 * MAX_ALLOCATED_BYTES, "allocated " + allocated + " bytes");
    }

    private static long measureAllocation(Runnable action) {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getThreadAllocatedBytes(Thread.currentThread().getId());
        action.run();
        return threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - before;
    }

    private static WorkSubmission largeJob() {
        StepSpecification[] steps = Stream.generate(() -> WorkFixtures.step(TASKS_PER_STEP, 1_000, 500))
                .limit(STEPS)
                .toArray(StepSpecification[]::new);
        return WorkFixtures.job("large", WorkFixtures.BUSY, 0, steps);
    }
}
