package org.cicadalead.model.job;

import java.util.Collection;
import java.util.Optional;
import org.pcollections.TreePMap;

/**
 * The tasks that one process has read from the platform, which may be out of date. Immutable.
 *
 * @param tasks status of each task
 */
public record TaskTable(TreePMap<TaskReference, TaskStatus> tasks) {
    /** Returns a table without tasks. */
    public static TaskTable empty() {
        return new TaskTable(TreePMap.empty());
    }

    /** Returns the status of a task, if it is known. */
    public Optional<TaskStatus> find(TaskReference task) {
        return Optional.ofNullable(tasks.get(task));
    }

    /** Returns the statuses ordered by task. */
    public Collection<TaskStatus> all() {
        return tasks.values();
    }

    /** Returns the table with newer statuses. */
    public TaskTable with(Collection<TaskStatus> newerStatuses) {
        TreePMap<TaskReference, TaskStatus> updated = tasks;
        for (TaskStatus status : newerStatuses) {
            updated = updated.plus(status.task(), status);
        }
        return new TaskTable(updated);
    }

    /** Returns the table without a task that the platform was asked to remove. */
    public TaskTable without(TaskReference task) {
        return new TaskTable(tasks.minus(task));
    }
}
