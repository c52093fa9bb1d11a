package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.cicadalead.model.work.HostCapacity;
import org.cicadalead.model.work.StepSpecification;
import org.cicadalead.model.work.TaskKey;
import org.jspecify.annotations.Nullable;

/**
 * One step of one occurrence of a job. A task that has not begun, or is done and has no run, is not kept as an object,
 * so that memory grows by the tasks that run or have run without being done; {@link #task} creates it. Not thread-safe.
 */
final class WorkStep {
    final WorkJob job;
    final StepSpecification specification;
    final int occurrence;
    final int number;
    /** The tasks with a state of their own, by index. */
    private final SortedMap<Integer, WorkTask> keptTasks = new TreeMap<>();

    /** Indexes of the tasks that are done. */
    private final BitSet doneTasks = new BitSet();

    /** Permissions of the external policy; null when the queue has no such policy. */
    final @Nullable StepTickets tickets;

    /** Capacity that one task takes on a host. */
    final HostCapacity requiredCapacity;

    /** Capacity with which one task counts against the limit of its account. */
    final HostCapacity declaredCapacity;

    /** Number of tasks that are neither done nor have a run. */
    int waitingTasks;

    /** Monotonic time in milliseconds of the newest order to start one of its tasks; before all times without one. */
    long latestRunOrderedAt = WorkHost.NEVER;

    private int done;
    private int measuredTasks;
    private long measuredMilliseconds;
    private long longestMilliseconds;

    WorkStep(WorkJob job, StepSpecification specification, int occurrence, int number) {
        this.job = job;
        this.specification = specification;
        this.occurrence = occurrence;
        this.number = number;
        this.tickets = job.submission.terms().advisor().map(StepTickets::new).orElse(null);
        this.requiredCapacity = specification.requiredCapacity();
        this.declaredCapacity = specification.declaredCapacity();
        this.waitingTasks = specification.taskCount();
    }

    int taskCount() {
        return specification.taskCount();
    }

    /** Returns a task by its index; it is kept from now on, unless it is done. */
    WorkTask task(int index) {
        WorkTask kept = keptTasks.get(index);
        if (kept != null) {
            return kept;
        }
        WorkTask task = new WorkTask(new TaskKey(job.identifier(), occurrence, number, index), this);
        if (doneTasks.get(index)) {
            task.done = true;
        } else {
            keptTasks.put(index, task);
        }
        return task;
    }

    /** Returns the tasks that have begun and are not done, or still have a run, in the order of their indexes. */
    Collection<WorkTask> keptTasks() {
        return Collections.unmodifiableCollection(keptTasks.values());
    }

    /** Returns all tasks that are not done; for steps whose tasks run together, as each gets an object. */
    List<WorkTask> unfinishedTasks() {
        List<WorkTask> unfinished = new ArrayList<>();
        for (int index = nextUnfinished(0); index < taskCount(); index = nextUnfinished(index + 1)) {
            unfinished.add(task(index));
        }
        return unfinished;
    }

    /** Returns the lowest index, from the given one on, of a task that is not done; the number of tasks if none. */
    int nextUnfinished(int from) {
        return Math.min(doneTasks.nextClearBit(from), taskCount());
    }

    /** Returns the lowest index, from the given one on, of a task that waits; the number of tasks if none. */
    int nextWaiting(int from) {
        int index = nextUnfinished(from);
        while (index < taskCount() && hasRun(index)) {
            index = nextUnfinished(index + 1);
        }
        return index;
    }

    private boolean hasRun(int index) {
        WorkTask kept = keptTasks.get(index);
        return kept != null && kept.run != null;
    }

    /** Stops to keep a task that is done, once it has no run. */
    void release(WorkTask task) {
        if (task.done && task.run == null) {
            keptTasks.remove(task.key.index(), task);
        }
    }

    /** Returns the indexes of the tasks that are done. */
    List<Integer> doneIndexes() {
        return doneTasks.stream().boxed().toList();
    }

    boolean isDone() {
        return done == taskCount();
    }

    String text() {
        return occurrence + "." + number;
    }

    /** Marks a task, or the whole gang, as finished; returns whether any task was not finished before. */
    boolean finish(WorkTask task) {
        boolean changed = false;
        for (WorkTask member : specification.gang() ? unfinishedTasks() : List.of(task)) {
            if (!member.done) {
                member.finish();
                doneTasks.set(member.key.index());
                done++;
                changed = true;
                release(member);
            }
        }
        if (changed) {
            job.invalidateEstimates();
        }
        return changed;
    }

    /** Counts the tasks of the step that have a run on a host. */
    int countTasksOn(WorkHost host) {
        int count = 0;
        for (WorkTask task : keptTasks.values()) {
            count += task.run != null && task.run.host == host ? 1 : 0;
        }
        return count;
    }

    /** Counts the tasks that are not running at full speed. */
    int countUnavailable(long now) {
        int count = taskCount();
        for (WorkTask task : keptTasks.values()) {
            count -= task.run != null && task.run.isAvailable(now) ? 1 : 0;
        }
        return count;
    }

    /**
     * Returns for how long all its unfinished tasks have been running, at most the duration of one, in milliseconds; 0
     * while a task waits.
     */
    long runningMilliseconds(long now) {
        return waitingTasks > 0 || isDone()
                ? 0
                : Math.max(0, Math.min(Math.round(expectedMilliseconds()), now - latestRunOrderedAt));
    }

    /** Records how long a task took that has ended, at full speed and from its beginning. */
    void addMeasured(long milliseconds) {
        measuredTasks++;
        measuredMilliseconds += milliseconds;
        longestMilliseconds = Math.max(longestMilliseconds, milliseconds);
        job.durations.add(specification.estimatedMilliseconds(), milliseconds, 1.0 / taskCount());
        job.invalidateEstimates();
    }

    boolean hasMeasuredTasks() {
        return measuredTasks > 0;
    }

    /**
     * Returns for how long a task can be expected to run, in milliseconds: as long as the others of this step did, or
     * as its queue's tasks with such an estimate do.
     */
    double expectedMilliseconds() {
        return measuredTasks > 0
                ? measuredMilliseconds / (double) measuredTasks
                : job.durations.medianMilliseconds(specification.estimatedMilliseconds());
    }

    /** Returns how long the longest task has taken, or can be expected to take, in milliseconds. */
    double longestTaskMilliseconds() {
        return Math.max((double) longestMilliseconds, expectedMilliseconds());
    }

    int remainingTasks() {
        return taskCount() - done;
    }

    /** Returns the remaining work in core-milliseconds, by the expected durations. */
    double remainingWork() {
        return remainingTasks() * specification.milliCores() / 1_000.0 * expectedMilliseconds();
    }
}
