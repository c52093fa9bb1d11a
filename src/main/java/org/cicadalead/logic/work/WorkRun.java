package org.cicadalead.logic.work;

import org.cicadalead.model.work.RunKey;

/** The leader's knowledge of a run on a host. Not thread-safe. */
final class WorkRun {
    /** Speed of a run that is not slowed down, in percent. */
    static final int FULL_SPEED_PERCENT = 100;

    /**
     * Time after the confirmation of a start from which a host that still replies has outlived it; longer than a
     * process needs to load a task.
     */
    private static final long START_MILLISECONDS = 100;

    /** The same for a task that is likely to crash its host, which may do so some time after it has loaded. */
    private static final long LIKELY_CRASH_MILLISECONDS = 500;

    final RunKey key;
    final WorkTask task;
    final WorkHost host;
    final long orderedAt;
    /** Time of the order on the clock of the host, in milliseconds. */
    private final long orderedAtHostClock;

    /** Monotonic time after which the run is stopped as too slow; set when it is attached to its host. */
    long overdueAfter = SlowRuns.NEVER;

    State state = State.ORDERED;
    long changedAt;
    /** Whether the last list of the host does not have the run. */
    boolean missing;

    /** Whether its duration from the order to the end is that of its whole task. */
    boolean startsFromBeginning;

    private long startMilliseconds = START_MILLISECONDS;
    private boolean outlivedStart;

    int percentage;
    long sample;
    int pacedPercentage = FULL_SPEED_PERCENT;
    long pacedAt;
    long stopSentAt = Long.MIN_VALUE / 2;

    /** Why it is stopped; of no meaning before that. */
    StopCause stopCause = StopCause.JOB_ENDED;

    WorkRun(RunKey key, WorkTask task, WorkHost host, long now) {
        this.key = key;
        this.task = task;
        this.host = host;
        this.orderedAt = now;
        this.orderedAtHostClock = host.clockReading + now - host.clockReadAt;
        this.changedAt = now;
    }

    void transitionTo(State next, long now) {
        state = next;
        changedAt = now;
        if (next == State.RUNNING) {
            task.runningSince = now;
        }
    }

    /** Lets it count as starting for longer, as it is likely to crash its host. */
    void expectCrash() {
        startMilliseconds = LIKELY_CRASH_MILLISECONDS;
    }

    /** Makes it be stopped, with the first order to stop in the next decision. */
    void stop(StopCause cause, long now) {
        stopCause = cause;
        transitionTo(State.STOPPING, now);
    }

    /** Records that the host has replied to any order. */
    void onHostReplied(long now) {
        outlivedStart |= state != State.ORDERED && state != State.UNCERTAIN && now - changedAt >= startMilliseconds;
    }

    /** Records that the host has written its registry entry, which it also does while it is cut off from the leader. */
    void onHostRegistered(long hostClock) {
        outlivedStart |= wasConfirmed() && hostClock - orderedAtHostClock >= startMilliseconds;
    }

    /** Returns whether the host has confirmed the order to start it, or has listed it. */
    boolean wasConfirmed() {
        return task.runningSince >= orderedAt;
    }

    /** Returns whether the host is not known to have outlived the start of this run. */
    boolean isStarting() {
        return !outlivedStart;
    }

    /** Returns whether only a later list of the host tells that the run has not started and will not. */
    boolean isWaitingForList() {
        return state == State.UNCERTAIN || (missing && (state == State.STOPPING || state == State.STOPPED));
    }

    /** Returns whether the run is at work for certain: a run on a host that does not reply may have ended with it. */
    boolean isAvailable(long now) {
        return state == State.RUNNING && percentage >= FULL_SPEED_PERCENT && !host.leaving && !host.isUnreachable(now);
    }

    /** State of the orders for a run. */
    enum State {
        /** The order to start was sent. */
        ORDERED,
        /** The host confirmed the run. */
        RUNNING,
        /** The outcome of the order to start is unknown, as no reply came; it may be carried out late. */
        UNCERTAIN,
        /** The run is to stop; the order to stop is not confirmed yet. */
        STOPPING,
        /** The host confirmed the order to stop and cannot start this run any more. */
        STOPPED
    }
}
