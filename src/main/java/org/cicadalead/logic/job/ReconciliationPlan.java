package org.cicadalead.logic.job;

import java.util.List;
import org.cicadalead.model.command.JobCommand;
import org.cicadalead.model.job.JobReport;
import org.cicadalead.model.job.TaskAction;

/**
 * The steps that bring the shared state and the platform's tasks into agreement. Immutable.
 *
 * @param reports observed progress of tasks to append to the log
 * @param stops tasks to mark as stopping in the log before the platform is asked to stop them
 * @param actions actions to request from the platform now
 */
public record ReconciliationPlan(List<JobReport> reports, List<JobCommand.Stop> stops, List<TaskAction> actions) {
    /** Copies the lists. */
    public ReconciliationPlan {
        reports = List.copyOf(reports);
        stops = List.copyOf(stops);
        actions = List.copyOf(actions);
    }
}
