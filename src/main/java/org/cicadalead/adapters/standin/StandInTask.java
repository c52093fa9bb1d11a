package org.cicadalead.adapters.standin;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.job.JobSize;
import org.cicadalead.model.job.TaskPhase;
import org.cicadalead.model.job.TaskStatus;
import org.cicadalead.ports.TaskPlatform.TaskStart;

/** One task of a {@link TaskStandIn}, whose lock guards it. */
final class StandInTask {
    private static final Pattern DURATION_PATTERN = Pattern.compile("(run|progress)-milliseconds=([0-9]{1,9})");
    private static final String FAILING_PAYLOAD = "always-fails";

    private final TaskStart start;
    private final Duration runTime;
    private final boolean fails;
    private final long startedAt;
    private long progressNanoseconds;
    private long advancedAt;
    private long stopDueAt = Long.MAX_VALUE;
    private boolean stopWithCheckpoint;
    private boolean crashed;
    private TaskStatus status;
    private long revision;

    StandInTask(TaskStart start, Duration defaultRunTime, boolean hostFails, long now) {
        this.start = start;
        this.runTime = parseDuration("run", start.submission().payload()).orElse(defaultRunTime);
        this.fails = hostFails || start.submission().payload().contains(FAILING_PAYLOAD);
        this.progressNanoseconds = parseDuration("progress", start.checkpoint())
                .orElse(Duration.ZERO)
                .toNanos();
        this.startedAt = now;
        this.advancedAt = now;
        this.status = new TaskStatus(
                start.task(),
                Optional.of(start.host()),
                TaskPhase.RUNNING,
                false,
                JobSize.NONE,
                Optional.empty(),
                Optional.empty());
    }

    HostName host() {
        return start.host();
    }

    TaskStart start() {
        return start;
    }

    long startedAt() {
        return startedAt;
    }

    TaskStatus status() {
        return status;
    }

    long revision() {
        return revision;
    }

    /** Returns whether the worker executes the task now, regardless of what the platform observes. */
    boolean isExecuting() {
        return !status.phase().isEnded() && !crashed;
    }

    void update(TaskStatus newStatus, long newRevision) {
        status = newStatus;
        revision = newRevision;
    }

    void crash() {
        crashed = true;
    }

    void requestStop(long stopDue, boolean withCheckpoint) {
        stopDueAt = Math.min(stopDueAt, stopDue);
        stopWithCheckpoint = withCheckpoint;
    }

    String encodeCheckpoint() {
        return "progress-milliseconds=" + Duration.ofNanos(progressNanoseconds).toMillis();
    }

    /** Advances the task to a time in nanoseconds and returns its status at that time. */
    TaskStatus advance(long now, JobSize usage) {
        if (status.phase().isEnded()) {
            return status;
        }
        if (crashed) {
            return stopDueAt <= now ? status.withPhase(TaskPhase.STOPPED, Optional.of("the worker crashed")) : status;
        }
        long elapsed = now - advancedAt;
        advancedAt = now;
        progressNanoseconds += status.throttled() ? elapsed / 2 : elapsed;
        TaskStatus observed = status.withUsage(usage);
        if (fails) {
            return observed.withPhase(TaskPhase.FAILED, Optional.of("exit status 1"));
        }
        if (progressNanoseconds >= runTime.toNanos()) {
            return observed.withPhase(
                    TaskPhase.FINISHED,
                    Optional.of("done: " + start.submission().payload()));
        }
        if (stopDueAt <= now) {
            TaskStatus stopped = stopWithCheckpoint ? observed.withCheckpoint(encodeCheckpoint()) : observed;
            return stopped.withPhase(TaskPhase.STOPPED, Optional.empty());
        }
        return observed.withPhase(TaskPhase.RUNNING, Optional.empty());
    }

    private static Optional<Duration> parseDuration(String name, String text) {
        Matcher matcher = DURATION_PATTERN.matcher(text);
        while (matcher.find()) {
            if (matcher.group(1).equals(name)) {
                return Optional.of(Duration.ofMillis(Long.parseLong(matcher.group(2))));
            }
        }
        return Optional.empty();
    }
}
