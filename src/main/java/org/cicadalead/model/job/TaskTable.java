package org.cicadalead.model.job;

import java.util.Collection;
import java.util.Optional;
import org.pcollections.TreePMap;

/**
 * The tasks that the platform listed, as one process has read them; it lags. Immutable.
 *
 * @param tasks the tasks by reference
 */
public record TaskTable(TreePMap<TaskReference, TaskStatus> tasks) {
    /** Returns a table without tasks. */
    public static TaskTable empty() {
        return new TaskTable(TreePMap.empty());
    }

    /** Finds a task. */
    public Optional<TaskStatus> find(TaskReference task) {
        return Optional.ofNullable(tasks.get(task));
    }

    /** Returns the tasks in order. */
    public Collection<TaskStatus> all() {
        return tasks.values();
    }

    /** Returns the table with newer statuses. */
    public TaskTable with(Collection<TaskStatus> newer) {
        TreePMap<TaskReference, TaskStatus> changed = tasks;
        for (TaskStatus status : newer) {
            changed = changed.plus(status.task(), status);
        }
        return new TaskTable(changed);
    }

    /** Returns the table without a task that the platform was told to forget. */
    public TaskTable without(TaskReference task) {
        return new TaskTable(tasks.minus(task));
    }
}
