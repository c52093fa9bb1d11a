package org.cicadalead.logic.job;

import java.util.List;
import org.cicadalead.model.command.JobCommand;
import org.cicadalead.model.job.JobReport;
import org.cicadalead.model.job.TaskAction;

/**
 * What follows from the difference between the shared state and the platform's tasks. Immutable.
 *
 * @param reports steps to be written to the log
 * @param stops tasks to be marked as stopping in the log, before the platform is asked
 * @param actions what the platform is to be asked now
 */
public record ReconciliationPlan(List<JobReport> reports, List<JobCommand.Stop> stops, List<TaskAction> actions) {
    /** Copies the lists. */
    public ReconciliationPlan {
        reports = List.copyOf(reports);
        stops = List.copyOf(stops);
        actions = List.copyOf(actions);
    }
}
