package org.cicadalead.adapters.standin;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.JobIdentifier;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.TeamName;
import org.cicadalead.model.job.JobSize;
import org.cicadalead.model.job.JobSubmission;
import org.cicadalead.model.job.TaskPhase;
import org.cicadalead.model.job.TaskReference;
import org.cicadalead.model.job.TaskStatus;
import org.cicadalead.ports.TaskPlatform;

/**
 * Simulates the platform's tasks in memory on a given clock, with fault injection. A payload may contain
 * {@code run-milliseconds=NUMBER} or {@code always-fails}. It counts the tasks that were executed, so that tests can
 * check them. Safe for use by several threads.
 */
public final class TaskStandIn implements TaskPlatform {
    private static final Duration DEFAULT_RUN_TIME = Duration.ofSeconds(1);

    private final LongSupplier nanoTime;
    private final NavigableMap<TaskReference, StandInTask> tasks = new TreeMap<>();
    private final Map<JobIdentifier, Integer> fencingEpochs = new HashMap<>();
    private final Map<JobIdentifier, JobExecutionCounts> executionCounts = new TreeMap<>();
    private final Set<HostName> failingHosts = new HashSet<>();
    private final Set<HostName> unreachableHosts = new HashSet<>();
    private Duration runTime = DEFAULT_RUN_TIME;
    private Duration stopDelay = Duration.ZERO;
    private Duration usageLag = Duration.ZERO;
    private double usageFactor = 1;
    private long revision;
    private int repliesToLose;
    private boolean available = true;
    private boolean fencing = true;

    /** Creates a stand-in without tasks that uses a monotonic clock. */
    public TaskStandIn(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
    }

    @Override
    public synchronized void start(TaskStart start) {
        requireAvailable();
        JobIdentifier job = start.task().job();
        tasksOf(job).forEach(this::advance);
        boolean isUnfencedStart = !fencing && !tasks.containsKey(start.task());
        if (isUnfencedStart || fencingEpochs.getOrDefault(job, 0) < start.task().epoch()) {
            fencingEpochs.merge(job, start.task().epoch(), Math::max);
            StandInTask task =
                    new StandInTask(start, runTime, failingHosts.contains(start.host()), nanoTime.getAsLong());
            tasks.put(start.task(), task);
            task.update(task.status(), ++revision);
            executionCountsOf(job).recordStart(countExecuting(job));
        }
        loseReplyIfRequested();
    }

    @Override
    public synchronized void stop(TaskReference task, boolean withCheckpoint) {
        requireAvailable();
        fencingEpochs.merge(task.job(), task.epoch(), Math::max);
        StandInTask existing = tasks.get(task);
        if (existing == null) {
            addNeverStartedTask(task);
        } else {
            existing.requestStop(nanoTime.getAsLong() + stopDelay.toNanos(), withCheckpoint);
        }
        loseReplyIfRequested();
    }

    @Override
    public synchronized void checkpoint(TaskReference task) {
        requireAvailable();
        tasksOf(task.job()).forEach(this::advance);
        StandInTask existing = tasks.get(task);
        if (existing != null && existing.isExecuting()) {
            existing.update(existing.status().withCheckpoint(existing.encodeCheckpoint()), ++revision);
        }
        loseReplyIfRequested();
    }

    @Override
    public synchronized void throttle(TaskReference task, boolean throttled) {
        requireAvailable();
        tasksOf(task.job()).forEach(this::advance);
        StandInTask existing = tasks.get(task);
        if (existing != null && existing.isExecuting() && existing.status().throttled() != throttled) {
            existing.update(existing.status().withThrottled(throttled), ++revision);
        }
        loseReplyIfRequested();
    }

    @Override
    public synchronized void removeTask(TaskReference task) {
        requireAvailable();
        tasksOf(task.job()).forEach(this::advance);
        StandInTask existing = tasks.get(task);
        if (existing != null && existing.status().phase().isEnded()) {
            tasks.remove(task);
        }
        loseReplyIfRequested();
    }

    @Override
    public synchronized TaskChanges listChanges(long afterRevision, int maximumTasks) {
        requireAvailable();
        advance();
        List<StandInTask> changedTasks = tasks.values().stream()
                .filter(task -> task.revision() > afterRevision)
                .sorted(Comparator.comparingLong(StandInTask::revision))
                .toList();
        List<StandInTask> page = changedTasks.subList(0, Math.min(maximumTasks, changedTasks.size()));
        boolean isComplete = page.size() == changedTasks.size();
        long lastRevision = isComplete ? revision : page.get(page.size() - 1).revision();
        return new TaskChanges(
                lastRevision, isComplete, page.stream().map(StandInTask::status).toList());
    }

    /** Starts or ends an outage. */
    public synchronized void setAvailable(boolean newAvailable) {
        available = newAvailable;
    }

    /** Enables fencing by epochs, or disables it as on a platform that violates the contract. */
    public synchronized void setFencing(boolean newFencing) {
        fencing = newFencing;
    }

    /** Loses the replies to the next calls that change something; the calls take effect nevertheless. */
    public synchronized void loseReplies(int count) {
        repliesToLose = count;
    }

    /** Sets the run time of tasks whose payload specifies none. */
    public synchronized void setRunTime(Duration newRunTime) {
        runTime = newRunTime;
    }

    /** Sets the time that tasks need to stop. */
    public synchronized void setStopDelay(Duration newStopDelay) {
        stopDelay = newStopDelay;
    }

    /** Sets the delay of usage reports, and the ratio of used to declared size. */
    public synchronized void setUsage(Duration newUsageLag, double newUsageFactor) {
        usageLag = newUsageLag;
        usageFactor = newUsageFactor;
    }

    /** Sets whether all tasks fail that are started on a host. */
    public synchronized void setFailing(HostName host, boolean failing) {
        if (failing) {
            failingHosts.add(host);
        } else {
            failingHosts.remove(host);
        }
    }

    /** Sets whether a host is unreachable: its leases expire while its tasks continue to run. */
    public synchronized void setUnreachable(HostName host, boolean unreachable) {
        advance();
        if (unreachable) {
            unreachableHosts.add(host);
        } else {
            unreachableHosts.remove(host);
        }
        advance();
    }

    /** Crashes a host: its tasks end, which the platform confirms only when it is asked to stop them. */
    public synchronized void crash(HostName host) {
        advance();
        for (StandInTask task : tasks.values()) {
            if (task.host().equals(host) && task.isExecuting()) {
                task.crash();
                task.update(task.status().withPhase(TaskPhase.UNREACHABLE, Optional.empty()), ++revision);
            }
        }
    }

    /** Returns the counts of executed tasks by job. */
    public synchronized Map<JobIdentifier, JobExecutionCounts> executionCounts() {
        advance();
        return new TreeMap<>(executionCounts);
    }

    private void advance() {
        tasks.values().forEach(this::advance);
    }

    private void advance(StandInTask task) {
        TaskStatus previousStatus = task.status();
        TaskStatus newStatus = unreachableHosts.contains(task.host()) && task.isExecuting()
                ? previousStatus.withPhase(TaskPhase.UNREACHABLE, Optional.empty())
                : task.advance(nanoTime.getAsLong(), usageOf(task));
        if (!newStatus.equals(previousStatus)) {
            task.update(newStatus, ++revision);
            recordFinish(newStatus);
        }
    }

    private void recordFinish(TaskStatus status) {
        if (status.phase() == TaskPhase.FINISHED) {
            executionCountsOf(status.task().job()).recordFinish();
        }
    }

    private JobSize usageOf(StandInTask task) {
        if (nanoTime.getAsLong() - task.startedAt() < usageLag.toNanos()) {
            return JobSize.NONE;
        }
        JobSize declared = task.start().submission().size();
        return new JobSize(
                declared.processors() * usageFactor, declared.memoryGigabytes() * usageFactor, declared.accelerators());
    }

    private void addNeverStartedTask(TaskReference task) {
        JobSubmission placeholderSubmission = new JobSubmission(
                task.job(),
                new TeamName("none"),
                new PoolName("none"),
                JobSize.NONE,
                JobSubmission.DEFAULT_URGENCY,
                false,
                "");
        StandInTask placeholder = new StandInTask(
                new TaskStart(task, new HostName("none"), placeholderSubmission, ""), runTime, false, 0);
        TaskStatus stopped = new TaskStatus(
                task, Optional.empty(), TaskPhase.STOPPED, false, JobSize.NONE, Optional.empty(), Optional.empty());
        placeholder.update(stopped, ++revision);
        tasks.put(task, placeholder);
    }

    private Collection<StandInTask> tasksOf(JobIdentifier job) {
        return tasks.subMap(new TaskReference(job, 0), new TaskReference(job, Integer.MAX_VALUE))
                .values();
    }

    private int countExecuting(JobIdentifier job) {
        return (int) tasksOf(job).stream().filter(StandInTask::isExecuting).count();
    }

    private JobExecutionCounts executionCountsOf(JobIdentifier job) {
        return executionCounts.computeIfAbsent(job, newJob -> new JobExecutionCounts());
    }

    private void requireAvailable() {
        if (!available) {
            throw new CicadaleadException(ErrorKind.PLATFORM_UNAVAILABLE, "The platform is in an outage");
        }
    }

    private void loseReplyIfRequested() {
        if (repliesToLose > 0) {
            repliesToLose--;
            throw new CicadaleadException(ErrorKind.OUTCOME_UNKNOWN, "The reply was lost");
        }
    }
}
