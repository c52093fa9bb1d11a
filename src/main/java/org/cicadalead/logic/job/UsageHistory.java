package org.cicadalead.logic.job;

import java.util.ArrayList;
import java.util.List;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.TeamName;
import org.cicadalead.model.job.JobSize;
import org.cicadalead.model.job.JobSubmission;
import org.pcollections.TreePMap;

/**
 * Records which share of their declared sizes earlier tasks used, by team and pool. The estimate is a high quantile of
 * the newest samples, so that one task with low usage does not hide those with high usage; with too few samples it is
 * the declared size. Immutable.
 *
 * @param samples newest samples of each job class, oldest first
 */
public record UsageHistory(TreePMap<JobClass, List<UsageSample>> samples) {
    private static final int MAX_SAMPLES = 32;
    private static final int MIN_SAMPLES = 8;
    private static final double QUANTILE = 0.9;
    private static final double MIN_RATIO = 0.25;
    private static final double MAX_RATIO = 4;

    /** Returns a history without samples. */
    public static UsageHistory empty() {
        return new UsageHistory(TreePMap.empty());
    }

    /** Returns the history with the peak usage of a task added. */
    public UsageHistory withSample(JobSubmission submission, JobSize usage) {
        JobClass jobClass = JobClass.of(submission);
        List<UsageSample> updated = new ArrayList<>(samples.getOrDefault(jobClass, List.of()));
        updated.add(new UsageSample(
                ratio(usage.processors(), submission.size().processors()),
                ratio(usage.memoryGigabytes(), submission.size().memoryGigabytes())));
        List<UsageSample> newest = updated.subList(Math.max(0, updated.size() - MAX_SAMPLES), updated.size());
        return new UsageHistory(samples.plus(jobClass, List.copyOf(newest)));
    }

    /** Returns the expected usage of a job; accelerators always count as declared. */
    public JobSize estimate(JobSubmission submission) {
        List<UsageSample> jobSamples = samples.getOrDefault(JobClass.of(submission), List.of());
        JobSize declared = submission.size();
        if (jobSamples.size() < MIN_SAMPLES) {
            return declared;
        }
        double processorRatio = quantile(jobSamples.stream()
                .mapToDouble(UsageSample::processorRatio)
                .sorted()
                .toArray());
        double memoryRatio = quantile(jobSamples.stream()
                .mapToDouble(UsageSample::memoryRatio)
                .sorted()
                .toArray());
        return new JobSize(
                declared.processors() * processorRatio,
                declared.memoryGigabytes() * memoryRatio,
                declared.accelerators());
    }

    private static double ratio(double used, double declared) {
        return declared <= 0 ? 1 : Math.min(MAX_RATIO, Math.max(MIN_RATIO, used / declared));
    }

    private static double quantile(double[] sorted) {
        return sorted[Math.min(sorted.length - 1, (int) Math.floor(QUANTILE * sorted.length))];
    }

    /**
     * Identifies jobs that are expected to have similar usage. Ordered by team and pool. Immutable.
     *
     * @param team the team
     * @param pool the pool
     */
    public record JobClass(TeamName team, PoolName pool) implements Comparable<JobClass> {
        static JobClass of(JobSubmission submission) {
            return new JobClass(submission.team(), submission.pool());
        }

        @Override
        public int compareTo(JobClass other) {
            int byTeam = team.compareTo(other.team);
            return byTeam == 0 ? pool.compareTo(other.pool) : byTeam;
        }
    }

    /**
     * Usage of one task as a ratio of its declared size.
     *
     * @param processorRatio used processors divided by declared processors
     * @param memoryRatio used memory divided by declared memory
     */
    public record UsageSample(double processorRatio, double memoryRatio) {}
}
