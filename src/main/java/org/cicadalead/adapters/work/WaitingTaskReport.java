package org.cicadalead.adapters.work;

import org.cicadalead.logic.work.WaitingTasks;
import org.cicadalead.logic.work.WorkTime;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;

/**
 * Logs which lasting tasks do not run and why, and which run again. {@link WaitingTasks} bounds the number of lines.
 * Used on the scheduling thread.
 */
final class WaitingTaskReport {
    private final DecisionLog log;
    private final WaitingTasks tasks;

    WaitingTaskReport(DecisionLog log, WaitingTasks tasks) {
        this.log = log;
        this.tasks = tasks;
    }

    /**
     * Logs what has changed; called after every cycle.
     *
     * @param mayStart whether the last confirmed record is recent enough to start work
     * @param unconfirmedMilliseconds age of the last confirmed record
     */
    void logChanges(WorkTime now, boolean mayStart, long unconfirmedMilliseconds) {
        WaitingTasks.Report report = tasks.evaluate(now, mayStart, unconfirmedMilliseconds);
        report.waiting()
                .forEach(task -> log.emit(EventKind.TASK_WAITS, task.details().toArray(EventDetail[]::new)));
        report.resumed()
                .forEach(task -> log.emit(
                        EventKind.TASK_RUNS_AGAIN,
                        EventDetail.of("task", task.task()),
                        EventDetail.of("epoch", task.epoch()),
                        EventDetail.of("waitedMilliseconds", task.waitedMilliseconds())));
        if (report.leftOut() > 0) {
            log.emit(EventKind.TASKS_LEFT_OUT, EventDetail.of("tasks", report.leftOut()));
        }
    }
}
