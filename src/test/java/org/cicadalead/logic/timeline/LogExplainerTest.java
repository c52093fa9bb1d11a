package org.cicadalead.logic.timeline;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cicadalead.model.event.LogLine;
import org.junit.jupiter.api.Test;

class LogExplainerTest {
    private static final String TASK = "job.0.1.2";

    private static LogLine line(long seconds, String kind, String... details) {
        Map<String, String> values = new LinkedHashMap<>();
        for (int index = 0; index < details.length; index += 2) {
            values.put(details[index], details[index + 1]);
        }
        return new LogLine(Instant.ofEpochSecond(seconds), kind, "process", values);
    }

    private static List<LogLine> explain(String subject, LogLine... lines) {
        LogExplainer explainer = new LogExplainer(subject);
        List.of(lines).forEach(explainer::add);
        return explainer.explain();
    }

    @Test
    void selectsLinesOfTaskJobTermsServiceAndHostsInOrderOfTime() {
        LogLine waits = line(6, "TASK_WAITS", "task", TASK, "service", "web");
        LogLine ordered = line(3, "RUN_ORDERED", "task", TASK, "host", "kingston-03");
        LogLine accepted = line(1, "JOB_STORED", "job", "job");
        LogLine advice = line(2, "ADVICE_TAKEN", "step", "job.0.1");
        LogLine silent = line(4, "HOST_SILENT", "host", "kingston-03");
        LogLine term = line(5, "TERM_LOADED", "epoch", "4");
        LogLine closed = line(5, "SERVICE_CLOSED", "service", "web");
        LogLine leftOut = line(7, "LINES_LEFT_OUT", "count", "3");
        assertEquals(
                List.of(accepted, advice, ordered, silent, term, closed, waits, leftOut),
                explain(
                        TASK,
                        line(3, "RUN_ORDERED", "task", "job.0.1.20", "host", "kingston-04"),
                        waits,
                        term,
                        closed,
                        line(5, "SERVICE_CLOSED", "service", "batch"),
                        line(4, "HOST_SILENT", "host", "kingston-04"),
                        line(2, "ADVICE_TAKEN", "step", "job.0.2"),
                        line(2, "JOB_STORED", "job", "job2"),
                        line(2, "DEPENDENCY_LOST", "dependency", "store"),
                        leftOut,
                        accepted,
                        ordered,
                        advice,
                        silent));
    }

    @Test
    void selectsAllTasksOfJob() {
        LogLine first = line(1, "RUN_ORDERED", "task", "job.0.0.0");
        LogLine second = line(2, "TASK_WAITS", "task", TASK);
        assertEquals(
                List.of(first, second), explain("job", first, second, line(1, "RUN_ORDERED", "task", "job2.0.0.0")));
    }

    @Test
    void selectsAllServicesWhileThatOfTaskIsUnknown() {
        LogLine closed = line(1, "SERVICE_CLOSED", "service", "web");
        assertEquals(List.of(closed), explain(TASK, closed));
    }

    @Test
    void keepsLinesOfSameTimeInOrderOfTheirFile() {
        LogLine ended = line(1, "RUN_ENDED", "task", TASK);
        LogLine ordered = line(1, "RUN_ORDERED", "task", TASK);
        assertEquals(List.of(ended, ordered), explain(TASK, ended, ordered));
    }

    @Test
    void describesKindsOfOtherVersions() {
        assertEquals(
                "1970-01-01T00:00:01Z TERM_DREAMT: an event that this version does not describe epoch=4"
                        + " (process process)",
                LogExplainer.describe(line(1, "TERM_DREAMT", "epoch", "4")));
    }
}
