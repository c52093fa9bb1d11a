package org.cicadalead.model.work;

import java.util.List;
import java.util.Map;

/**
 * What is kept of a job beside its submission: only what a successor cannot learn from the hosts. Immutable.
 *
 * @param job the job
 * @param version rises with each record of the job, over all terms
 * @param phase how far it is
 * @param done tasks that have finished, by step in text form
 * @param failedAttempts numbers of failed runs by task in text form
 * @param attempts highest run number of tasks that ended other than done, by task in text form
 * @param checkpoints newest checkpoints of tasks that wait, by task in text form
 */
public record WorkProgress(
        String job,
        long version,
        WorkPhase phase,
        Map<String, List<Integer>> done,
        Map<String, List<Long>> failedAttempts,
        Map<String, Long> attempts,
        Map<String, String> checkpoints) {
    /** Copies the collections. */
    public WorkProgress {
        done = Map.copyOf(done);
        failedAttempts = Map.copyOf(failedAttempts);
        attempts = Map.copyOf(attempts);
        checkpoints = Map.copyOf(checkpoints);
    }
}
