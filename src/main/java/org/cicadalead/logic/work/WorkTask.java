package org.cicadalead.logic.work;

import java.util.HashSet;
import java.util.Set;
import org.cicadalead.model.work.TaskKey;
import org.jspecify.annotations.Nullable;

/** One task of a job, with at most one run at any time. Not thread-safe. */
final class WorkTask {
    final TaskKey key;
    final WorkStep step;
    boolean done;
    /**
     * Attempt numbers of failed runs, kept so that an end which is listed late, or again to a successor, counts once.
     */
    final Set<Long> failedAttempts = new HashSet<>();

    long lastAttempt;
    long highestEndedAttempt;
    String checkpoint = "";
    int slowRestarts;

    /** The present run; changed only by {@link #attach} and {@link #detach}. */
    @Nullable WorkRun run;

    /** The hosts that were lost with runs of this task. */
    final CrashHistory crashes = new CrashHistory();

    /** The planned or present start on a host without other starts; null when there is none. */
    @Nullable IsolatedStart isolatedStart;

    final Set<String> avoidedHosts = new HashSet<>();

    /** Monotonic time in milliseconds at which a run was last confirmed as active; before all times without one. */
    long runningSince = WorkHost.NEVER;

    /** Monotonic time in milliseconds at which the last run ended that was active; before all times without one. */
    long ranUntil = WorkHost.NEVER;

    /** The ended run with the highest attempt number, as far as this term knows. */
    @Nullable LastRun lastRun;

    WorkTask(TaskKey key, WorkStep step) {
        this.key = key;
        this.step = step;
    }

    boolean isWaiting() {
        return !done && run == null;
    }

    void attach(WorkRun newRun) {
        step.waitingTasks -= isWaiting() ? 1 : 0;
        run = newRun;
        step.latestRunOrderedAt = Math.max(step.latestRunOrderedAt, newRun.orderedAt);
    }

    /** Removes a run that has ended, unless it is not the present one. */
    void detach(WorkRun endedRun) {
        if (run == endedRun) {
            run = null;
            step.waitingTasks += isWaiting() ? 1 : 0;
            step.release(this);
        }
    }

    /** Records the end of a run; an end that is already known, or older, changes nothing. */
    void recordEnd(LastRun ended) {
        if (lastRun == null || ended.key().attempt() > lastRun.key().attempt()) {
            lastRun = ended;
            // The end of a host is dated by the decision before it, which may precede the confirmation of the run.
            ranUntil = ended.ran() ? Math.max(ended.endedAt(), runningSince) : ranUntil;
        }
    }

    void finish() {
        step.waitingTasks -= isWaiting() ? 1 : 0;
        done = true;
    }
}
