package org.cicadalead.logic.work;

import java.util.HashSet;
import java.util.Set;
import org.cicadalead.model.work.TaskKey;
import org.jspecify.annotations.Nullable;

/** One task of a job. Has at most one run at any time. For use by one thread. */
final class WorkTask {
    final TaskKey key;
    final WorkStep step;
    boolean done;
    /** Numbers of the runs that failed, as an end may be listed late, or again to a successor. */
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
