package org.cicadalead.model.work;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Stored progress of a job beside its submission, limited to what a successor cannot learn from the hosts. Immutable.
 *
 * @param job the job
 * @param version version that rises with each record of the job, across all terms
 * @param phase phase of the job
 * @param done indexes of finished tasks, by step in text form
 * @param failedAttempts attempt numbers of failed runs, by task in text form
 * @param attempts highest attempt number that has ended, for unfinished tasks, by task in text form
 * @param checkpoints newest checkpoints of unfinished tasks, by task in text form
 * @param hostLosses hosts that were lost with runs of unfinished tasks, by task in text form; missing in records of
 *     versions that did not count them
 * @param acceptedMilliseconds time of acceptance in the record by which the job runs, which tells it from further
 *     records of the job; 0 in records of versions that did not name it
 */
public record WorkProgress(
        String job,
        long version,
        WorkPhase phase,
        Map<String, List<Integer>> done,
        Map<String, List<Long>> failedAttempts,
        Map<String, Long> attempts,
        Map<String, String> checkpoints,
        Map<String, List<HostLoss>> hostLosses,
        long acceptedMilliseconds) {
    /** Copies the collections; throws if a part is missing. */
    public WorkProgress {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(phase, "phase");
        done = Map.copyOf(done);
        failedAttempts = Map.copyOf(failedAttempts);
        attempts = Map.copyOf(attempts);
        checkpoints = Map.copyOf(checkpoints);
        hostLosses = hostLosses == null ? Map.of() : Map.copyOf(hostLosses);
    }

    /** Creates progress that does not name the record by which the job runs. */
    public WorkProgress(
            String job,
            long version,
            WorkPhase phase,
            Map<String, List<Integer>> done,
            Map<String, List<Long>> failedAttempts,
            Map<String, Long> attempts,
            Map<String, String> checkpoints,
            Map<String, List<HostLoss>> hostLosses) {
        this(job, version, phase, done, failedAttempts, attempts, checkpoints, hostLosses, 0);
    }
}
