package org.cicadalead.adapters.work;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cicadalead.ports.RecordStore.KeyedRecord;

/**
 * The keys under which the submissions of each job are stored, as far as a term has read them, so that all of them can
 * be deleted with the job. Used on the scheduling thread.
 */
final class SubmissionKeys {
    private final Map<String, Set<String>> keysByJob = new HashMap<>();

    /** Records a key that was read; does nothing for a record that holds no submission. */
    void onRead(KeyedRecord stored) {
        JobRecords.submittedJob(stored)
                .ifPresent(job -> keysByJob.merge(job, Set.of(stored.key()), SubmissionKeys::union));
    }

    private static Set<String> union(Set<String> first, Set<String> second) {
        Set<String> all = new HashSet<>(first);
        all.addAll(second);
        return Set.copyOf(all);
    }

    /** Creates the deletions of what is stored of a job beside its progress, and forgets the job. */
    List<KeyedRecord> createDeletions(String job) {
        Set<String> keys = Optional.ofNullable(keysByJob.remove(job)).orElse(Set.of());
        return JobRecords.createDeletions(job, keys);
    }
}
