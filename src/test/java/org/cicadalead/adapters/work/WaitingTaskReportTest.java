package org.cicadalead.adapters.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cicadalead.logic.work.EarlierHosts;
import org.cicadalead.logic.work.SchedulingTerms;
import org.cicadalead.logic.work.WorkScheduler;
import org.cicadalead.logic.work.WorkTime;
import org.cicadalead.model.work.QueueTerms;
import org.cicadalead.model.work.StepSpecification;
import org.cicadalead.model.work.WorkSubmission;
import org.junit.jupiter.api.Test;

class WaitingTaskReportTest {
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();

    private DecisionLog createLog() {
        return new DecisionLog(output, "process", new WorkMetrics(new SimpleMeterRegistry()));
    }

    private List<String> readLines() {
        return output.toString(StandardCharsets.UTF_8).lines().toList();
    }

    private static WorkScheduler createScheduler(int tasks) {
        StepSpecification step = new StepSpecification(
                tasks,
                1_000,
                100,
                0,
                0,
                List.of(),
                false,
                false,
                false,
                Optional.empty(),
                Optional.empty(),
                0,
                false,
                true,
                Optional.empty(),
                0,
                false,
                0);
        WorkScheduler scheduler = new WorkScheduler(
                new SchedulingTerms(5_700, 6_000, 2_500, 6_000, 200, 2_000, 1), 3, EarlierHosts.NONE, 0);
        QueueTerms terms = new QueueTerms(0, 3, 1.6, 600, Optional.empty());
        scheduler.addJob(
                new WorkSubmission("job", "queue", "service", terms, "run", List.of(step), 0, 0, 0, 0),
                new WorkTime(0, 0));
        return scheduler;
    }

    @Test
    void writesOneLineForTaskThatWaitsWhileReasonStays() {
        try (DecisionLog log = createLog()) {
            WaitingTaskReport report =
                    new WaitingTaskReport(log, createScheduler(1).createWaitingTasks());
            for (long now = 0; now < 10_000; now += 100) {
                report.logChanges(new WorkTime(now, now), true, 50);
            }
        }
        assertEquals(1, readLines().size(), readLines().toString());
        assertTrue(
                readLines()
                        .get(0)
                        .contains("\"kind\":\"TASK_WAITS\",\"process\":\"process\",\"task\":\"job.0.0.0\","
                                + "\"service\":\"service\",\"epoch\":\"3\",\"waitedMilliseconds\":\"2000\","
                                + "\"reason\":\"FIRST_ANNOUNCEMENT_PENDING\",\"unconfirmedMilliseconds\":\"50\","
                                + "\"lastRun\":\"unknown in this term\""),
                readLines().get(0));
    }

    @Test
    void saysHowManyTasksAreLeftOut() {
        try (DecisionLog log = createLog()) {
            new WaitingTaskReport(log, createScheduler(30).createWaitingTasks())
                    .logChanges(new WorkTime(2_000, 2_000), true, 50);
        }
        assertEquals(21, readLines().size());
        assertTrue(
                readLines().get(20).contains("\"TASKS_LEFT_OUT\",\"process\":\"process\",\"tasks\":\"10\""),
                readLines().get(20));
    }

    @Test
    void saysOnceSecondWhatTermStillLoads() {
        try (DecisionLog log = createLog()) {
            LoadingReport report = new LoadingReport(log, 3, 1_000);
            for (long now = 1_000; now <= 3_500; now += 100) {
                report.logWait(new WorkTime(now, now), Set.of(LoadingReport.Data.REGISTRY));
            }
        }
        assertEquals(2, readLines().size(), readLines().toString());
        assertTrue(
                readLines()
                        .get(1)
                        .contains("\"epoch\":\"3\",\"loadingMilliseconds\":\"2000\",\"missing\":\"[REGISTRY]\""),
                readLines().get(1));
    }
}
