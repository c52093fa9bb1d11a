package org.cicadalead.adapters.work;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cicadalead.logic.work.account.RejectionCause;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.work.KeyDigest;
import org.cicadalead.model.work.WorkQueue;
import org.cicadalead.ports.TimerService;

/**
 * Logs and counts requests that are rejected by the rules of accounts. Every rejection is counted; each cause is logged
 * a bounded number of times a second, and the next line then tells how many were left out. Keys appear as identifiers
 * of their digests. Safe for use by several threads.
 */
public final class RejectionReport {
    /** Lines of one cause in a second: enough to name the accounts concerned, and little beside the lines of jobs. */
    private static final int MAX_LINES_PER_SECOND = 5;

    private final TimerService timers;
    private final DecisionLog log;
    private final WorkMetrics metrics;
    private final Map<RejectionCause, LineBudget> budgets = new EnumMap<>(RejectionCause.class);

    /** Creates a report. */
    public RejectionReport(TimerService timers, DecisionLog log, WorkMetrics metrics) {
        this.timers = timers;
        this.log = log;
        this.metrics = metrics;
    }

    /**
     * Records a rejection.
     *
     * @param account the account of the request, if its key is one of an account
     * @param key the key of the request
     */
    public void onRejected(RejectionCause cause, Optional<String> account, Optional<KeyDigest> key, WorkQueue queue) {
        metrics.countRejection(cause, account);
        Optional<Long> leftOut = admitLine(cause);
        leftOut.ifPresent(count -> log.emit(
                EventKind.ACCOUNT_REQUEST_REJECTED,
                EventDetail.of("cause", cause.label()),
                EventDetail.of("account", account.orElse("")),
                EventDetail.of("key", key.map(KeyDigest::identifier).orElse("")),
                EventDetail.of("queue", queue.name()),
                EventDetail.of("leftOut", count)));
    }

    /** Returns the number of lines left out since the last one; empty if this line is to be left out as well. */
    private synchronized Optional<Long> admitLine(RejectionCause cause) {
        long second = TimeUnit.NANOSECONDS.toSeconds(timers.nanoTime());
        return budgets.computeIfAbsent(cause, newCause -> new LineBudget()).admit(second);
    }

    private static final class LineBudget {
        private long currentSecond = Long.MIN_VALUE;
        private int linesInSecond;
        private long leftOut;

        Optional<Long> admit(long second) {
            if (second != currentSecond) {
                currentSecond = second;
                linesInSecond = 0;
            }
            if (linesInSecond == MAX_LINES_PER_SECOND) {
                leftOut++;
                return Optional.empty();
            }
            linesInSecond++;
            long count = leftOut;
            leftOut = 0;
            return Optional.of(count);
        }
    }
}
