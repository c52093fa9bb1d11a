package org.cicadalead.model.job;

import java.util.Optional;
import org.cicadalead.model.identity.JobIdentifier;

/**
 * What the shared state remembers of a host as a place for jobs. Immutable.
 *
 * @param lastPlacement offset of the newest placement there; 0 before the first
 * @param consecutiveFailures failures of different jobs since the last success
 * @param lastFailure offset of the newest failure; 0 before the first
 * @param lastFailedJob the job that failed last
 */
public record JobHostState(
        long lastPlacement, int consecutiveFailures, long lastFailure, Optional<JobIdentifier> lastFailedJob) {
    /** A host that was never used. */
    public static final JobHostState UNUSED = new JobHostState(0, 0, 0, Optional.empty());

    /** Consecutive failures of different jobs after which a host counts as failing everything. */
    public static final int FAILURES_UNTIL_SUSPECT = 3;

    /** Tells whether it fails everything that is started there. */
    public boolean failsEverything() {
        return consecutiveFailures >= FAILURES_UNTIL_SUSPECT;
    }

    /** Returns the host with a placement. */
    public JobHostState placedAt(long offset) {
        return new JobHostState(offset, consecutiveFailures, lastFailure, lastFailedJob);
    }

    /** Returns the host after a failure; the same job failing again says nothing new about the host. */
    public JobHostState failed(JobIdentifier job, long offset) {
        boolean sameJob = lastFailedJob.filter(job::equals).isPresent();
        return new JobHostState(
                lastPlacement, sameJob ? consecutiveFailures : consecutiveFailures + 1, offset, Optional.of(job));
    }

    /** Returns the host after a success. */
    public JobHostState succeeded() {
        return new JobHostState(lastPlacement, 0, 0, Optional.empty());
    }
}
