package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.work.TaskKey;
import org.jspecify.annotations.Nullable;

/**
 * Selects the lasting tasks that have waited so long that operators should be told why, and those that run again. A
 * task waits while it has no run that is known to be at work. Evaluates at most once a second, and tells of at most
 * {@value #MAX_NOTICES} tasks then; the others follow in later evaluations unless they have nothing to tell any more.
 * Not thread-safe.
 */
public final class WaitingTasks {
    /** Time after which a waiting task is reported. */
    static final long OVERDUE_AFTER_MILLISECONDS = 2_000;

    /** Time without a reply after which a run is not known to be at work; longer than the wait of a poll. */
    static final long SILENT_AFTER_MILLISECONDS = 2_000;

    static final int MAX_NOTICES = 20;

    private static final long INTERVAL_MILLISECONDS = 1_000;

    private final WorkState state;
    private final TakeoverGate takeoverGate;
    private Map<TaskKey, Wait> waits = new LinkedHashMap<>();
    private long evaluatedAt = WorkHost.NEVER;

    WaitingTasks(WorkState state, TakeoverGate takeoverGate) {
        this.state = state;
        this.takeoverGate = takeoverGate;
    }

    /**
     * Evaluates the lasting tasks; returns nothing when the last evaluation is less than a second ago.
     *
     * @param mayStart whether the last confirmed record is recent enough to start work
     * @param unconfirmedMilliseconds age of the last confirmed record
     */
    public Report evaluate(WorkTime time, boolean mayStart, long unconfirmedMilliseconds) {
        long now = time.monotonic();
        if (now - evaluatedAt < INTERVAL_MILLISECONDS) {
            return Report.EMPTY;
        }
        evaluatedAt = now;
        Evaluation evaluation = new Evaluation(
                now, new WaitingReasonFinder(state, takeoverGate, now, mayStart, unconfirmedMilliseconds));
        for (WorkJob job : state.liveJobs) {
            if (job.longRunning && !job.phase.isTerminal()) {
                for (WorkStep step : job.openSteps()) {
                    if (step.specification.longRunning()) {
                        step.unfinishedTasks().forEach(evaluation::evaluate);
                    }
                }
            }
        }
        waits = evaluation.remaining;
        return new Report(evaluation.waiting, evaluation.resumed, evaluation.leftOut);
    }

    private static boolean isAtWork(@Nullable WorkRun run, long now) {
        return run != null
                && run.state == WorkRun.State.RUNNING
                && now - run.host.lastReplyAt < SILENT_AFTER_MILLISECONDS;
    }

    /** Returns the monotonic time in milliseconds since which a task is not known to be at work. */
    private static long findWaitingSince(WorkTask task, long now) {
        WorkRun run = task.run;
        if (run != null && task.runningSince >= run.orderedAt) {
            return run.state == WorkRun.State.RUNNING
                    ? Math.max(task.runningSince, run.host.lastReplyAt)
                    : run.changedAt;
        }
        if (task.ranUntil != WorkHost.NEVER) {
            return task.ranUntil;
        }
        boolean openSinceReceipt =
                task.step.occurrence == 0 && task.step.specification.dependsOn().isEmpty();
        return openSinceReceipt ? task.step.job.receivedAt : now;
    }

    /** One evaluation of all lasting tasks. */
    private final class Evaluation {
        private final long now;
        private final WaitingReasonFinder finder;
        private final Map<TaskKey, Wait> remaining = new LinkedHashMap<>();
        private final List<WaitingTask> waiting = new ArrayList<>();
        private final List<ResumedTask> resumed = new ArrayList<>();
        private int leftOut;

        Evaluation(long now, WaitingReasonFinder finder) {
            this.now = now;
            this.finder = finder;
        }

        void evaluate(WorkTask task) {
            Wait earlier = waits.get(task.key);
            if (isAtWork(task.run, now)) {
                if (earlier != null && earlier.reported != null) {
                    resume(task, earlier);
                }
            } else if (!task.done) {
                // A run that came and went between two evaluations ends the earlier wait.
                boolean continues = earlier != null && task.runningSince <= earlier.since;
                Wait wait = continues ? earlier : new Wait(findWaitingSince(task, now));
                remaining.put(task.key, wait);
                if (now - wait.since >= OVERDUE_AFTER_MILLISECONDS) {
                    report(task, wait);
                }
            }
        }

        private void resume(WorkTask task, Wait wait) {
            if (!admitNotice()) {
                remaining.put(task.key, wait);
                return;
            }
            long endedAt = task.runningSince > wait.since ? task.runningSince : now;
            resumed.add(new ResumedTask(task.key, state.epoch, endedAt - wait.since));
        }

        private void report(WorkTask task, Wait wait) {
            WaitingReason reason = finder.find(task);
            if ((wait.reported != null && wait.reported.isSameAs(reason)) || !admitNotice()) {
                return;
            }
            wait.reported = reason;
            waiting.add(new WaitingTask(
                    task.key,
                    task.step.job.submission.service(),
                    state.epoch,
                    now - wait.since,
                    reason,
                    Optional.ofNullable(task.lastRun).map(lastRun -> describe(lastRun, now))));
        }

        private boolean admitNotice() {
            boolean admitted = waiting.size() + resumed.size() < MAX_NOTICES;
            leftOut += admitted ? 0 : 1;
            return admitted;
        }
    }

    private static String describe(LastRun lastRun, long now) {
        return lastRun.key().attempt() + " on " + lastRun.host() + (lastRun.ran() ? " ran, " : " never ran, ")
                + lastRun.evidence() + (lastRun.detail().isEmpty() ? "" : " " + lastRun.detail()) + ", "
                + (now - lastRun.endedAt()) + " ms ago";
    }

    /** The wait of one task. */
    private static final class Wait {
        private final long since;
        private @Nullable WaitingReason reported;

        Wait(long since) {
            this.since = since;
        }
    }

    /**
     * What is to be told about waiting tasks. Immutable.
     *
     * @param waiting tasks that have become overdue, or wait for another reason than before
     * @param resumed tasks that were overdue and run again
     * @param leftOut number of tasks that this evaluation does not tell of because of its limit
     */
    public record Report(List<WaitingTask> waiting, List<ResumedTask> resumed, int leftOut) {
        static final Report EMPTY = new Report(List.of(), List.of(), 0);

        /** Copies the lists. */
        public Report {
            waiting = List.copyOf(waiting);
            resumed = List.copyOf(resumed);
        }
    }

    /**
     * A lasting task that waits. Immutable.
     *
     * @param task the task
     * @param service service of its job
     * @param epoch number of the term that reports it
     * @param waitedMilliseconds time since its last run ended, or since its job was read in this term
     * @param reason why it does not run
     * @param lastRun its last run and how that ended; empty when this term knows of none
     */
    public record WaitingTask(
            TaskKey task,
            String service,
            long epoch,
            long waitedMilliseconds,
            WaitingReason reason,
            Optional<String> lastRun) {
        /** Returns the values of the event that tells of the wait. */
        public List<EventDetail> details() {
            List<EventDetail> details = new ArrayList<>(List.of(
                    EventDetail.of("task", task),
                    EventDetail.of("service", service),
                    EventDetail.of("epoch", epoch),
                    EventDetail.of("waitedMilliseconds", waitedMilliseconds),
                    EventDetail.of("reason", reason.cause())));
            details.addAll(reason.inputs());
            details.add(EventDetail.of("lastRun", lastRun.orElse("unknown in this term")));
            return details;
        }
    }

    /**
     * A lasting task that was overdue and runs again. Immutable.
     *
     * @param task the task
     * @param epoch number of the term that reports it
     * @param waitedMilliseconds how long it waited
     */
    public record ResumedTask(TaskKey task, long epoch, long waitedMilliseconds) {}
}
