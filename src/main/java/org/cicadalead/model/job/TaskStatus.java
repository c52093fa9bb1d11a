package org.cicadalead.model.job;

import java.util.Optional;
import org.cicadalead.model.identity.HostName;

/**
 * The status of a task as the platform reports it. Immutable.
 *
 * @param task job and epoch of the task
 * @param host where it runs or ran; empty for a task that was stopped before its start
 * @param phase its phase
 * @param throttled whether it is throttled
 * @param usage observed peak usage, which may be out of date
 * @param checkpoint newest checkpoint
 * @param detail result of a finished task, or reason of a failure
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

    /** Returns the task throttled or not. */
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
