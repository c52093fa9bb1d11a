package org.cicadalead.logic.work;

import java.util.Comparator;
import java.util.List;

/**
 * Sorts the waiting jobs of a service by priority of placement. In a demand peak of several times the pool's capacity,
 * jobs that can still meet their objective come first, those with the least remaining work first, so that as many jobs
 * as possible are in time. Jobs past their objective follow, and jobs that earn no credit any more come last. A job
 * that has waited for long comes before all other short ones. Stateless and thread-safe.
 */
final class WorkOrdering {
    /** A job that takes more than this multiple of its objective earns no credit on the platform (a ratio). */
    private static final int NO_CREDIT_FACTOR = 3;

    /**
     * Time since its acceptance after which a job comes before all other short ones, the oldest first: a quarter of the
     * two minutes for which the platform shows an ended job to its caller.
     */
    static final long MAX_WAIT_MILLISECONDS = 30_000;

    /** Precedes every remaining work. */
    private static final double BEFORE_ALL = -1;

    private WorkOrdering() {}

    /** Returns the jobs in the order in which their tasks are placed. */
    static List<WorkJob> sort(List<WorkJob> jobs, WorkTime now) {
        return jobs.stream()
                .map(job -> new RankedJob(job, rank(job, now), sortingWork(job, now)))
                .sorted(Comparator.comparingInt(RankedJob::rank)
                        .thenComparingDouble(RankedJob::remaining)
                        .thenComparingLong(ranked -> ranked.job().submission.acceptedMilliseconds()))
                .map(RankedJob::job)
                .toList();
    }

    private static double sortingWork(WorkJob job, WorkTime now) {
        return hasWaitedForLong(job, now) ? BEFORE_ALL : job.remainingWork();
    }

    /** Returns whether a job can still meet its objective, or is long-running and so has none. */
    static boolean canMeetObjective(WorkJob job, WorkTime now) {
        return rankByObjective(job, now) <= 1;
    }

    private static boolean hasWaitedForLong(WorkJob job, WorkTime now) {
        return !job.longRunning
                && !job.submission.isScheduled()
                && now.wall() - job.submission.acceptedMilliseconds() >= MAX_WAIT_MILLISECONDS;
    }

    /** Returns the rank of a job: 0 long-running, 1 in time or waiting for long, 2 late, 3 of no use any more. */
    static int rank(WorkJob job, WorkTime now) {
        return hasWaitedForLong(job, now) ? 1 : rankByObjective(job, now);
    }

    private static int rankByObjective(WorkJob job, WorkTime now) {
        if (job.longRunning) {
            return 0;
        }
        long elapsed = now.wall() - job.submission.acceptedMilliseconds();
        long expectedDuration = elapsed + job.remainingCriticalPath(now.monotonic());
        if (job.submission.isScheduled() || expectedDuration <= job.objectiveMilliseconds()) {
            return 1;
        }
        return expectedDuration <= NO_CREDIT_FACTOR * job.objectiveMilliseconds() ? 2 : NO_CREDIT_FACTOR;
    }

    private record RankedJob(WorkJob job, int rank, double remaining) {}
}
