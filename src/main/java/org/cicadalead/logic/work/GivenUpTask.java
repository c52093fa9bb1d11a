package org.cicadalead.logic.work;

import java.util.List;
import org.cicadalead.model.work.HostLoss;
import org.cicadalead.model.work.TaskKey;

/**
 * A task that was given up because hosts crashed under it. Immutable.
 *
 * @param task the task
 * @param losses the hosts that were lost with its runs
 */
public record GivenUpTask(TaskKey task, List<HostLoss> losses) {
    /** Copies the list. */
    public GivenUpTask {
        losses = List.copyOf(losses);
    }
}
