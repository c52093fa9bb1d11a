package org.cicadalead.model.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cicadalead.model.identity.HostName;

/**
 * A long job in the shared state. A task of the job may exist only under the current epoch, except that an idempotent
 * job whose lease expired may also have tasks of earlier epochs. A job in a terminal phase never changes again.
 * Immutable.
 *
 * @param submission the job as it was submitted
 * @param acceptedAt offset of the submission
 * @param version offset of the record that last changed it
 * @param phase its phase
 * @param epoch number of placements so far, which is the fencing token of its task
 * @param host host of the newest placement
 * @param stopReason reason why its task was asked to stop; present while it stops
 * @param cancelRequested whether its owner requested its cancellation
 * @param throttled whether its task is throttled
 * @param checkpoint checkpoint from which the next task resumes
 * @param failedAttempts number of tasks that failed
 * @param countedAttempts number of failed tasks that count against the job; failures on a host on which every job fails
 *     do not
 * @param failedHosts hosts on which a task of it failed
 * @param outcome result of a finished job, or the newest reason for a failure
 */
public record JobState(
        JobSubmission submission,
        long acceptedAt,
        long version,
        JobPhase phase,
        int epoch,
        Optional<HostName> host,
        Optional<StopReason> stopReason,
        boolean cancelRequested,
        boolean throttled,
        Optional<String> checkpoint,
        int failedAttempts,
        int countedAttempts,
        List<HostName> failedHosts,
        Optional<String> outcome) {
    /** Number of failed tasks that count against the job after which it fails permanently. */
    public static final int MAX_COUNTED_ATTEMPTS = 3;

    /** Number of failed tasks after which a job fails permanently, whether they count against it or not. */
    public static final int MAX_ATTEMPTS = 10;

    /** Copies the list. */
    public JobState {
        failedHosts = List.copyOf(failedHosts);
    }

    /** Returns a newly accepted job. */
    public static JobState accepted(JobSubmission submission, long offset) {
        return new JobState(
                submission,
                offset,
                offset,
                JobPhase.WAITING,
                0,
                Optional.empty(),
                Optional.empty(),
                false,
                false,
                Optional.empty(),
                0,
                0,
                List.of(),
                Optional.empty());
    }

    /** Returns whether the job may be retried after its failures so far. */
    public boolean hasAttemptsLeft() {
        return countedAttempts < MAX_COUNTED_ATTEMPTS && failedAttempts < MAX_ATTEMPTS;
    }

    /** Returns the job placed on a host, under the next epoch. */
    public JobState placedOn(HostName newHost) {
        return copy(
                JobPhase.PLACED, epoch + 1, Optional.of(newHost), Optional.empty(), cancelRequested, false, outcome);
    }

    /** Returns the job while its task is asked to stop; an earlier reason is kept. */
    public JobState stopping(StopReason reason) {
        return copy(
                JobPhase.STOPPING,
                epoch,
                host,
                stopReason.or(() -> Optional.of(reason)),
                cancelRequested,
                throttled,
                outcome);
    }

    /** Returns the job waiting for its next placement. */
    public JobState requeued() {
        return copy(JobPhase.WAITING, epoch, host, Optional.empty(), cancelRequested, false, outcome);
    }

    /** Returns the job in another phase. */
    public JobState withPhase(JobPhase newPhase) {
        return copy(newPhase, epoch, host, stopReason, cancelRequested, throttled, outcome);
    }

    /** Returns the job with its cancellation requested. */
    public JobState withCancelRequested() {
        return copy(phase, epoch, host, stopReason, true, throttled, outcome);
    }

    /** Returns the job with its task throttled or not. */
    public JobState withThrottled(boolean newThrottled) {
        return copy(phase, epoch, host, stopReason, cancelRequested, newThrottled, outcome);
    }

    /** Returns the job in a terminal phase with its outcome. */
    public JobState withOutcome(JobPhase terminal, String newOutcome) {
        return copy(terminal, epoch, host, Optional.empty(), cancelRequested, false, Optional.of(newOutcome));
    }

    /** Returns the job with another version. */
    public JobState withVersion(long newVersion) {
        return new JobState(
                submission,
                acceptedAt,
                newVersion,
                phase,
                epoch,
                host,
                stopReason,
                cancelRequested,
                throttled,
                checkpoint,
                failedAttempts,
                countedAttempts,
                failedHosts,
                outcome);
    }

    /** Returns the job with another checkpoint. */
    public JobState withCheckpoint(Optional<String> newCheckpoint) {
        return new JobState(
                submission,
                acceptedAt,
                version,
                phase,
                epoch,
                host,
                stopReason,
                cancelRequested,
                throttled,
                newCheckpoint,
                failedAttempts,
                countedAttempts,
                failedHosts,
                outcome);
    }

    /** Returns the job with one more failed task, which counts against the job or only against its host. */
    public JobState withFailedAttempt(String reason, boolean counted) {
        return new JobState(
                submission,
                acceptedAt,
                version,
                phase,
                epoch,
                host,
                stopReason,
                cancelRequested,
                throttled,
                checkpoint,
                failedAttempts + 1,
                counted ? countedAttempts + 1 : countedAttempts,
                withFailedHost(),
                Optional.of(reason));
    }

    private List<HostName> withFailedHost() {
        List<HostName> hosts = new ArrayList<>(failedHosts);
        host.filter(failedHost -> !hosts.contains(failedHost)).ifPresent(hosts::add);
        return hosts;
    }

    private JobState copy(
            JobPhase newPhase,
            int newEpoch,
            Optional<HostName> newHost,
            Optional<StopReason> newReason,
            boolean newCancelRequested,
            boolean newThrottled,
            Optional<String> newOutcome) {
        return new JobState(
                submission,
                acceptedAt,
                version,
                newPhase,
                newEpoch,
                newHost,
                newReason,
                newCancelRequested,
                newThrottled,
                checkpoint,
                failedAttempts,
                countedAttempts,
                failedHosts,
                newOutcome);
    }
}
