package org.cicadalead.adapters.job;

import java.util.Optional;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.JobIdentifier;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.TeamName;
import org.cicadalead.model.job.JobPhase;
import org.cicadalead.model.job.JobState;
import org.cicadalead.model.job.StopReason;

/**
 * The representation of a job in responses to callers and operators. Immutable.
 *
 * @param job the job
 * @param team team that owns the job
 * @param pool pool on whose hosts the job runs
 * @param phase its phase
 * @param urgency from 0, the most urgent, to 7
 * @param epoch number of its placements so far
 * @param host host of its newest placement
 * @param failedAttempts number of tasks that failed
 * @param throttled whether its task is throttled
 * @param cancelRequested whether the job is cancelled, or will be once its task has stopped
 * @param stopReason reason why its task is being stopped
 * @param outcome the result, or the newest reason for a failure
 * @param acceptedAt offset of the submission
 */
public record JobView(
        JobIdentifier job,
        TeamName team,
        PoolName pool,
        JobPhase phase,
        int urgency,
        int epoch,
        Optional<HostName> host,
        int failedAttempts,
        boolean throttled,
        boolean cancelRequested,
        Optional<StopReason> stopReason,
        Optional<String> outcome,
        long acceptedAt) {
    /** Returns the view of a job. */
    public static JobView of(JobState job) {
        return new JobView(
                job.submission().job(),
                job.submission().team(),
                job.submission().pool(),
                job.phase(),
                job.submission().urgency(),
                job.epoch(),
                job.host(),
                job.failedAttempts(),
                job.throttled(),
                job.cancelRequested(),
                job.stopReason(),
                job.outcome(),
                job.acceptedAt());
    }
}
