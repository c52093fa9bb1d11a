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
 * A job as callers and operators see it. Immutable.
 *
 * @param job the job
 * @param team the team that owns it
 * @param pool the pool that it runs on
 * @param phase its phase
 * @param urgency from 0, the most urgent, to 7
 * @param epoch number of its placements so far
 * @param host host of its newest placement
 * @param failedAttempts tasks that failed
 * @param throttled whether its task is slowed down
 * @param cancelRequested whether it is cancelled, or will be once its task has stopped
 * @param stopReason why its task is being stopped
 * @param outcome the result, or the newest reason for a failure
 * @param acceptedAt offset at which it was accepted
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
