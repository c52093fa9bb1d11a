package org.cicadalead.model.job;

import java.util.Optional;
import org.cicadalead.model.identity.JobIdentifier;

/**
 * Job-related state of a host in the shared state. Immutable.
 *
 * @param lastPlacement offset of the newest placement on the host; 0 before the first
 * @param consecutiveFailures number of failures of different jobs since the last success
 * @param lastFailure offset of the newest failure; 0 before the first
 * @param lastFailedJob job that failed last on the host
 */
public record JobHostState(
        long lastPlacement, int consecutiveFailures, long lastFailure, Optional<JobIdentifier> lastFailedJob) {
    /** State of a host on which no job was ever placed. */
    public static final JobHostState UNUSED = new JobHostState(0, 0, 0, Optional.empty());

    /** Number of consecutive failures of different jobs from which on the host itself is assumed to be the cause. */
    public static final int FAILURES_UNTIL_SUSPECT = 3;

    /** Returns whether every job on the host is assumed to fail. */
    public boolean failsEverything() {
        return consecutiveFailures >= FAILURES_UNTIL_SUSPECT;
    }

    /** Returns the state after a placement. */
    public JobHostState placedAt(long offset) {
        return new JobHostState(offset, consecutiveFailures, lastFailure, lastFailedJob);
    }

    /**
     * Returns the state after a failure. A repeated failure of the same job is not counted, as it may be the job's
     * fault.
     */
    public JobHostState failed(JobIdentifier job, long offset) {
        boolean isSameJob = lastFailedJob.filter(job::equals).isPresent();
        return new JobHostState(
                lastPlacement, isSameJob ? consecutiveFailures : consecutiveFailures + 1, offset, Optional.of(job));
    }

    /** Returns the state after a success. */
    public JobHostState succeeded() {
        return new JobHostState(lastPlacement, 0, 0, Optional.empty());
    }
}
