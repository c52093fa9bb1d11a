package org.cicadalead.adapters.work;

import java.util.Set;
import org.cicadalead.logic.work.WorkTime;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;

/** Logs, once a second, what a term still waits for that has not loaded its data. Used on the scheduling thread. */
final class LoadingReport {
    private static final long INTERVAL_MILLISECONDS = 1_000;

    private final DecisionLog log;
    private final long epoch;
    private final long startedAt;
    private long loggedAt;

    /**
     * Creates the report of a term.
     *
     * @param startedAt monotonic time in milliseconds at which the term started
     */
    LoadingReport(DecisionLog log, long epoch, long startedAt) {
        this.log = log;
        this.epoch = epoch;
        this.startedAt = startedAt;
        this.loggedAt = startedAt;
    }

    /** Logs the missing data, unless the term has started or was reported less than a second ago. */
    void logWait(WorkTime now, Set<Data> missing) {
        if (now.monotonic() - loggedAt < INTERVAL_MILLISECONDS) {
            return;
        }
        loggedAt = now.monotonic();
        log.emit(
                EventKind.TERM_LOADING,
                EventDetail.of("epoch", epoch),
                EventDetail.of("loadingMilliseconds", loggedAt - startedAt),
                EventDetail.of("missing", missing));
    }

    /** What a term needs before it schedules. */
    enum Data {
        /** The confirmation that no earlier term can write any more; jobs and progress are read after it. */
        FENCE,
        /** The jobs. */
        JOBS,
        /** The progress of the jobs. */
        PROGRESS,
        /** The registry of hosts. */
        REGISTRY
    }
}
