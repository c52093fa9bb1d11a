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
 * The platform's tasks in memory, on any clock, with switches for faults. A payload may say
 * {@code run-milliseconds=NUMBER} or {@code always-fails}. It keeps an account of what really ran, so that a test can
 * judge. Safe for use by several threads.
 */
public final class TaskStandIn implements TaskPlatform {
    private static final Duration DEFAULT_RUN_TIME = Duration.ofSeconds(1);

    private final LongSupplier nanoTime;
    private final NavigableMap<TaskReference, StandInTask> tasks = new TreeMap<>();
    private final Map<JobIdentifier, Integer> fences = new HashMap<>();
    private final Map<JobIdentifier, TaskAccount> accounts = new TreeMap<>();
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

    /** Creates an empty stand-in on a monotonic clock. */
    public TaskStandIn(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
    }

    @Override
    public synchronized void start(TaskStart start) {
        requireAvailable();
        JobIdentifier job = start.task().job();
        tasksOf(job).forEach(this::advance);
        boolean unfenced = !fencing && !tasks.containsKey(start.task());
        if (unfenced || fences.getOrDefault(job, 0) < start.task().epoch()) {
            fences.merge(job, start.task().epoch(), Math::max);
            StandInTask task =
                    new StandInTask(start, runTime, failingHosts.contains(start.host()), nanoTime.getAsLong());
            tasks.put(start.task(), task);
            task.changed(task.status(), ++revision);
            account(job).started(running(job));
        }
        loseReply();
    }

    @Override
    public synchronized void stop(TaskReference task, boolean withCheckpoint) {
        requireAvailable();
        fences.merge(task.job(), task.epoch(), Math::max);
        StandInTask known = tasks.get(task);
        if (known == null) {
            listAsNeverStarted(task);
        } else {
            known.stopAt(nanoTime.getAsLong() + stopDelay.toNanos(), withCheckpoint);
        }
        loseReply();
    }

    @Override
    public synchronized void checkpoint(TaskReference task) {
        requireAvailable();
        tasksOf(task.job()).forEach(this::advance);
        StandInTask known = tasks.get(task);
        if (known != null && known.executes()) {
            known.changed(known.status().withCheckpoint(known.checkpointText()), ++revision);
        }
        loseReply();
    }

    @Override
    public synchronized void throttle(TaskReference task, boolean throttled) {
        requireAvailable();
        tasksOf(task.job()).forEach(this::advance);
        StandInTask known = tasks.get(task);
        if (known != null && known.executes() && known.status().throttled() != throttled) {
            known.changed(known.status().withThrottled(throttled), ++revision);
        }
        loseReply();
    }

    @Override
    public synchronized void forget(TaskReference task) {
        requireAvailable();
        tasksOf(task.job()).forEach(this::advance);
        StandInTask known = tasks.get(task);
        if (known != null && known.status().phase().isEnded()) {
            tasks.remove(task);
        }
        loseReply();
    }

    @Override
    public synchronized TaskChanges listChanges(long afterRevision, int maximumTasks) {
        requireAvailable();
        advance();
        List<StandInTask> found = tasks.values().stream()
                .filter(task -> task.revision() > afterRevision)
                .sorted(Comparator.comparingLong(StandInTask::revision))
                .toList();
        List<StandInTask> given = found.subList(0, Math.min(maximumTasks, found.size()));
        boolean complete = given.size() == found.size();
        long last = complete ? revision : given.get(given.size() - 1).revision();
        return new TaskChanges(
                last, complete, given.stream().map(StandInTask::status).toList());
    }

    /** Starts or ends an outage. */
    public synchronized void setAvailable(boolean newAvailable) {
        available = newAvailable;
    }

    /** Turns the fencing by epochs off, as on a platform that breaks the contract, or on. */
    public synchronized void setFencing(boolean newFencing) {
        fencing = newFencing;
    }

    /** Takes the effect of the next calls that change something, but loses their replies. */
    public synchronized void loseReplies(int count) {
        repliesToLose = count;
    }

    /** Sets how long a task runs whose payload does not say. */
    public synchronized void setRunTime(Duration newRunTime) {
        runTime = newRunTime;
    }

    /** Sets how long tasks ignore a stop. */
    public synchronized void setStopDelay(Duration newStopDelay) {
        stopDelay = newStopDelay;
    }

    /** Sets how late usage is reported, and how much of the declared size tasks use. */
    public synchronized void setUsage(Duration newLag, double newFactor) {
        usageLag = newLag;
        usageFactor = newFactor;
    }

    /** Lets a host fail everything that is started there, or ends that. */
    public synchronized void setFailing(HostName host, boolean failing) {
        if (failing) {
            failingHosts.add(host);
        } else {
            failingHosts.remove(host);
        }
    }

    /** Lets the leases on a host lapse while its tasks go on, or ends that. */
    public synchronized void setUnreachable(HostName host, boolean unreachable) {
        advance();
        if (unreachable) {
            unreachableHosts.add(host);
        } else {
            unreachableHosts.remove(host);
        }
        advance();
    }

    /** Crashes a host: its tasks are gone, which the platform confirms only when it is asked to stop them. */
    public synchronized void crash(HostName host) {
        advance();
        for (StandInTask task : tasks.values()) {
            if (task.host().equals(host) && task.executes()) {
                task.crash();
                task.changed(task.status().withPhase(TaskPhase.UNREACHABLE, Optional.empty()), ++revision);
            }
        }
    }

    /** Returns what really ran, by job. */
    public synchronized Map<JobIdentifier, TaskAccount> accounts() {
        advance();
        return new TreeMap<>(accounts);
    }

    private void advance() {
        tasks.values().forEach(this::advance);
    }

    private void advance(StandInTask task) {
        TaskStatus before = task.status();
        TaskStatus after = unreachableHosts.contains(task.host()) && task.executes()
                ? before.withPhase(TaskPhase.UNREACHABLE, Optional.empty())
                : task.advance(nanoTime.getAsLong(), usageOf(task));
        if (!after.equals(before)) {
            task.changed(after, ++revision);
            noteEnd(after);
        }
    }

    private void noteEnd(TaskStatus status) {
        if (status.phase() == TaskPhase.FINISHED) {
            account(status.task().job()).finished();
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

    private void listAsNeverStarted(TaskReference task) {
        JobSubmission none = new JobSubmission(
                task.job(),
                new TeamName("none"),
                new PoolName("none"),
                JobSize.NONE,
                JobSubmission.DEFAULT_URGENCY,
                false,
                "");
        StandInTask placeholder =
                new StandInTask(new TaskStart(task, new HostName("none"), none, ""), runTime, false, 0);
        TaskStatus stopped = new TaskStatus(
                task, Optional.empty(), TaskPhase.STOPPED, false, JobSize.NONE, Optional.empty(), Optional.empty());
        placeholder.changed(stopped, ++revision);
        tasks.put(task, placeholder);
    }

    private Collection<StandInTask> tasksOf(JobIdentifier job) {
        return tasks.subMap(new TaskReference(job, 0), new TaskReference(job, Integer.MAX_VALUE))
                .values();
    }

    private int running(JobIdentifier job) {
        return (int) tasksOf(job).stream().filter(StandInTask::executes).count();
    }

    private TaskAccount account(JobIdentifier job) {
        return accounts.computeIfAbsent(job, unseen -> new TaskAccount());
    }

    private void requireAvailable() {
        if (!available) {
            throw new CicadaleadException(ErrorKind.PLATFORM_UNAVAILABLE, "The platform is in an outage");
        }
    }

    private void loseReply() {
        if (repliesToLose > 0) {
            repliesToLose--;
            throw new CicadaleadException(ErrorKind.OUTCOME_UNKNOWN, "The reply was lost");
        }
    }
}
