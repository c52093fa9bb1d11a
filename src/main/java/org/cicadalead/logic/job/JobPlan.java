package org.cicadalead.logic.job;

import java.util.List;
import org.cicadalead.model.command.JobCommand;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.job.TaskAction;

/**
 * What the planner would do now. Immutable.
 *
 * @param placements waiting jobs to be placed
 * @param stops tasks to be stopped for more urgent work
 * @param actions tasks to be slowed down or let run at full speed
 * @param excludedHosts hosts that get no jobs as they fail everything
 */
public record JobPlan(
        List<JobCommand.Placement> placements,
        List<JobCommand.Stop> stops,
        List<TaskAction> actions,
        List<HostName> excludedHosts) {
    /** Copies the lists. */
    public JobPlan {
        placements = List.copyOf(placements);
        stops = List.copyOf(stops);
        actions = List.copyOf(actions);
        excludedHosts = List.copyOf(excludedHosts);
    }
}
