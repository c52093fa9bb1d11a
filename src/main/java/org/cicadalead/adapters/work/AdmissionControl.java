package org.cicadalead.adapters.work;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cicadalead.logic.work.AcceptedWeight;
import org.cicadalead.logic.work.JobAdmission;
import org.cicadalead.model.work.WorkSubmission;
import org.cicadalead.ports.TimerService;

/**
 * Rejects jobs beyond the budget of memory for all open jobs. Learns from the leader, at most once a second and never
 * while a caller waits, how much of it is used. Safe for use by several threads.
 */
final class AdmissionControl {
    private final TimerService timers;
    private final Supplier<CompletableFuture<Optional<Long>>> leaderReport;
    private final AcceptedWeight weight = new AcceptedWeight();

    /**
     * Creates a control.
     *
     * @param leaderReport asks the leader for the weight of all open jobs in bytes; empty if that is not known
     */
    AdmissionControl(TimerService timers, Supplier<CompletableFuture<Optional<Long>>> leaderReport) {
        this.timers = timers;
        this.leaderReport = leaderReport;
    }

    /** Returns whether a job fits into the budget; if so, counts it. */
    boolean tryAccept(WorkSubmission submission) {
        long now = now();
        boolean isAccepted;
        boolean mustAsk;
        synchronized (weight) {
            isAccepted = weight.tryAccept(JobAdmission.weigh(submission), now);
            mustAsk = weight.tryAsk(now);
        }
        if (mustAsk) {
            leaderReport.get().thenAccept(report -> report.ifPresent(bytes -> onReport(bytes, now)));
        }
        return isAccepted;
    }

    private void onReport(long bytes, long questionAt) {
        synchronized (weight) {
            weight.onReport(bytes, questionAt);
        }
    }

    /** Returns the weight of all open jobs in bytes, as far as this process knows. */
    long estimateBytes() {
        synchronized (weight) {
            return weight.estimateBytes();
        }
    }

    private long now() {
        return TimeUnit.NANOSECONDS.toMillis(timers.nanoTime());
    }
}
