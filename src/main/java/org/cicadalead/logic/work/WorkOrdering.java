package org.cicadalead.logic.work;

import java.util.Comparator;
import java.util.List;

/**
 * Orders the waiting jobs of a service. Answers a turn of demand of several times the pool's room: work that can still
 * meet its objective goes first, the least work first, so that the most jobs are in time; work past its objective
 * follows, and work that no longer earns anything comes last. Stateless; safe for use by several threads.
 */
final class WorkOrdering {
    /** A job that takes this many times its objective earns nothing, by the platform's terms (a ratio). */
    private static final int NO_CREDIT_FACTOR = 3;

    private WorkOrdering() {}

    /** Returns jobs in the order in which their tasks get room. */
    static List<WorkJob> sort(List<WorkJob> jobs, long wallNow) {
        return jobs.stream()
                .map(job -> new RankedJob(job, rank(job, wallNow), job.remainingWork()))
                .sorted(Comparator.comparingInt(RankedJob::rank)
                        .thenComparingDouble(RankedJob::remaining)
                        .thenComparingLong(ranked -> ranked.job().submission.acceptedMilliseconds()))
                .map(RankedJob::job)
                .toList();
    }

    /** Tells whether a job can still meet its objective, or lasts and so has none. */
    static boolean canMeetObjective(WorkJob job, long wallNow) {
        return rank(job, wallNow) <= 1;
    }

    private static int rank(WorkJob job, long wallNow) {
        if (job.longRunning) {
            return 0;
        }
        long age = wallNow - job.submission.acceptedMilliseconds();
        long expected = age + job.remainingCriticalPath();
        if (job.submission.isScheduled() || expected <= job.objectiveMilliseconds) {
            return 1;
        }
        return expected <= NO_CREDIT_FACTOR * job.objectiveMilliseconds ? 2 : NO_CREDIT_FACTOR;
    }

    private record RankedJob(WorkJob job, int rank, double remaining) {}
}
