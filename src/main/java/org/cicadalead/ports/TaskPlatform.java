package org.cicadalead.ports;

import java.util.List;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.job.JobSubmission;
import org.cicadalead.model.job.TaskReference;
import org.cicadalead.model.job.TaskStatus;

/**
 * The platform's tasks under worker leases. The epoch of a task is a fencing token: the platform starts a task only
 * under a higher epoch than any that it has started or stopped for the job before, so that a start which comes late
 * does nothing. Every call may be repeated, by any process. Calls throw
 * {@link org.cicadalead.model.error.CicadaleadException} with kind {@code PLATFORM_UNAVAILABLE} when they had no effect
 * or {@code OUTCOME_UNKNOWN} when they may have had one. Implementations are safe for use by several threads.
 */
public interface TaskPlatform {
    /** Starts a task, unless the job has had a task or a stop of this epoch or a higher one. */
    void start(TaskStart start);

    /**
     * Asks a task to stop, with a checkpoint first where it can. The end is seen in {@link #changes}; a task that was
     * never started is listed as stopped, and never starts.
     */
    void stop(TaskReference task, boolean withCheckpoint);

    /** Asks a task to write a checkpoint and go on. */
    void checkpoint(TaskReference task);

    /** Slows a task down, or lets it run at full speed again. */
    void throttle(TaskReference task, boolean throttled);

    /** Lets the platform drop an ended task from its list; its epoch stays fenced. */
    void forget(TaskReference task);

    /**
     * Lists tasks that have changed after a revision, in the order of their changes; usage lags.
     *
     * @param afterRevision revision of the last answer; 0 for all tasks
     * @param maximumTasks most tasks of the answer
     */
    TaskChanges changes(long afterRevision, int maximumTasks);

    /**
     * A task to be started.
     *
     * @param task job and epoch
     * @param host where it runs
     * @param submission what was submitted
     * @param checkpoint where it resumes; empty text when it starts anew
     */
    record TaskStart(TaskReference task, HostName host, JobSubmission submission, String checkpoint) {}

    /**
     * Changed tasks.
     *
     * @param revision to go on from; lower than the one asked for when the platform has started anew
     * @param complete whether there is nothing after it
     * @param tasks the tasks
     */
    record TaskChanges(long revision, boolean complete, List<TaskStatus> tasks) {
        /** Copies the list. */
        public TaskChanges {
            tasks = List.copyOf(tasks);
        }
    }
}
