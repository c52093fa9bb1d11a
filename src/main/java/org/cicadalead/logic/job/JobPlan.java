package org.cicadalead.logic.job;

import java.util.List;
import org.cicadalead.model.command.JobCommand;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.job.TaskAction;

/**
 * The decisions of one planning cycle. Immutable.
 *
 * @param placements waiting jobs to place on hosts
 * @param stops tasks to preempt for more urgent jobs
 * @param actions tasks to throttle or to unthrottle
 * @param excludedHosts hosts that get no jobs, except for a probe, because every job on them fails
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
