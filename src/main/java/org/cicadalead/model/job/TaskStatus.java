package org.cicadalead.model.job;

import java.util.Optional;
import org.cicadalead.model.identity.HostName;

/**
 * A task, as the platform reports it. Immutable.
 *
 * @param task job and epoch
 * @param host where it runs or ran; empty for a task that was stopped before its start
 * @param phase its phase
 * @param throttled whether it is slowed down
 * @param usage the most that it was seen to use; lags
 * @param checkpoint its newest checkpoint
 * @param detail result or reason of its end
 */
public record TaskStatus(
        TaskReference task,
        Optional<HostName> host,
        TaskPhase phase,
        boolean throttled,
        JobSize usage,
        Optional<String> checkpoint,
        Optional<String> detail) {
    /** Returns the task in another phase. */
    public TaskStatus withPhase(TaskPhase newPhase, Optional<String> newDetail) {
        return new TaskStatus(task, host, newPhase, throttled, usage, checkpoint, newDetail);
    }

    /** Returns the task slowed down or not. */
    public TaskStatus withThrottled(boolean newThrottled) {
        return new TaskStatus(task, host, phase, newThrottled, usage, checkpoint, detail);
    }

    /** Returns the task with another checkpoint. */
    public TaskStatus withCheckpoint(String newCheckpoint) {
        return new TaskStatus(task, host, phase, throttled, usage, Optional.of(newCheckpoint), detail);
    }

    /** Returns the task with another usage. */
    public TaskStatus withUsage(JobSize newUsage) {
        return new TaskStatus(task, host, phase, throttled, newUsage, checkpoint, detail);
    }
}
