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

    @Nullable WorkRun run;

    final Set<String> avoidedHosts = new HashSet<>();

    WorkTask(TaskKey key, WorkStep step) {
        this.key = key;
        this.step = step;
    }

    boolean isWaiting() {
        return !done && run == null;
    }
}
