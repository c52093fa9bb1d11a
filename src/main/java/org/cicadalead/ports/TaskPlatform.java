package org.cicadalead.ports;

import java.util.List;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.job.JobSubmission;
import org.cicadalead.model.job.TaskReference;
import org.cicadalead.model.job.TaskStatus;

/**
 * Controls the platform's tasks under worker leases. The epoch of a task is a fencing token: the platform starts a task
 * only under a higher epoch than any that it has started or stopped for the job before, so that a delayed start has no
 * effect. Calls may be repeated by any process. Calls throw {@link org.cicadalead.model.error.CicadaleadException} with
 * kind {@code PLATFORM_UNAVAILABLE} when they had no effect or {@code OUTCOME_UNKNOWN} when they may have had one.
 * Implementations are safe for use by several threads.
 */
public interface TaskPlatform {
    /** Starts a task, unless the job has had a task or a stop of this epoch or a higher one. */
    void start(TaskStart start);

    /**
     * Requests a task to stop, optionally after writing a checkpoint if it can. Its end is reported by
     * {@link #listChanges}. A task that was never started is reported as stopped and never starts.
     */
    void stop(TaskReference task, boolean withCheckpoint);

    /** Requests a task to write a checkpoint and continue. */
    void checkpoint(TaskReference task);

    /** Throttles a task, or lets it run at full speed again. */
    void throttle(TaskReference task, boolean throttled);

    /** Lets the platform remove an ended task from its list; its epoch stays fenced. */
    void removeTask(TaskReference task);

    /**
     * Lists tasks that have changed after a revision, in the order of their changes; reported usage lags behind.
     *
     * @param afterRevision revision of the last result; 0 for all tasks
     * @param maximumTasks maximum number of tasks in the result
     */
    TaskChanges listChanges(long afterRevision, int maximumTasks);

    /**
     * A task to be started.
     *
     * @param task job and epoch
     * @param host host on which the task runs
     * @param submission submission of the job
     * @param checkpoint checkpoint to resume from; empty to start from the beginning
     */
    record TaskStart(TaskReference task, HostName host, JobSubmission submission, String checkpoint) {}

    /**
     * Changed tasks.
     *
     * @param revision from which to continue; lower than the requested one if the platform has restarted
     * @param complete whether there are no changes after the revision
     * @param tasks the changed tasks
     */
    record TaskChanges(long revision, boolean complete, List<TaskStatus> tasks) {
        /** Copies the list. */
        public TaskChanges {
            tasks = List.copyOf(tasks);
        }
    }
}
