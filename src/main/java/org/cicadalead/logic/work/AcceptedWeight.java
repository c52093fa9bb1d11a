package org.cicadalead.logic.work;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

/**
 * What one process knows of the weight of the open jobs: the leader's last report, and the jobs that this process has
 * let through since. Without a report it counts only the latter, none of which ends for it. Between two reports a
 * process uses at most a part of what the last one left, as other processes accept jobs too. All times are monotonic,
 * in milliseconds; all weights in bytes. Not thread-safe.
 */
public final class AcceptedWeight {
    /** Time within which the leader has read a job that was stored. */
    static final long SETTLE_MILLISECONDS = 2_000;

    /** Part of the rest of the budget that a process uses between two reports (a divisor). */
    static final int SHARE_DIVISOR = 4;

    /** Weight accepted since the last report from which on a newer one is needed. */
    static final long REPORT_AFTER_BYTES = 1L << 20;

    /** Reported weight from which on each report is soon too old. */
    static final long REPORT_ALWAYS_BYTES = JobAdmission.BUDGET_BYTES / 4;

    /** Minimum time between two questions to the leader. */
    static final long REPORT_INTERVAL_MILLISECONDS = 1_000;

    private final Deque<Accepted> accepted = new ArrayDeque<>();
    private long reportedBytes;
    private long acceptedBytes;
    private OptionalLong askedAt = OptionalLong.empty();

    /** Returns whether a job of the given weight fits now; if so, counts it until a later report contains it. */
    public boolean tryAccept(long weight, long now) {
        long left = JobAdmission.BUDGET_BYTES - reportedBytes;
        if (acceptedBytes + weight > left / SHARE_DIVISOR) {
            return false;
        }
        accepted.addLast(new Accepted(now, weight));
        acceptedBytes += weight;
        return true;
    }

    /** Returns whether the leader should be asked now; if so, counts that as done. */
    public boolean tryAsk(long now) {
        boolean isDue =
                askedAt.isEmpty() || acceptedBytes >= REPORT_AFTER_BYTES || reportedBytes >= REPORT_ALWAYS_BYTES;
        if (!isDue || (askedAt.isPresent() && now - askedAt.getAsLong() < REPORT_INTERVAL_MILLISECONDS)) {
            return false;
        }
        askedAt = OptionalLong.of(now);
        return true;
    }

    /** Applies the leader's report of the weight of all open jobs, which it was asked for at the given time. */
    public void onReport(long bytes, long questionAt) {
        reportedBytes = bytes;
        while (!accepted.isEmpty() && accepted.getFirst().at() < questionAt - SETTLE_MILLISECONDS) {
            acceptedBytes -= accepted.removeFirst().weight();
        }
    }

    /** Returns the weight of all open jobs as far as this process knows. */
    public long estimateBytes() {
        return reportedBytes + acceptedBytes;
    }

    private record Accepted(long at, long weight) {}
}
