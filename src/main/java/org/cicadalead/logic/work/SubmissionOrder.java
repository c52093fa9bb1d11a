package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cicadalead.model.work.WorkProgress;
import org.cicadalead.model.work.WorkSubmission;

/**
 * Orders the stored records of jobs for a successor, which runs each job by the first record of it. A request that
 * arrives again, at any process and under any configuration, stores another record of its job. Stateless.
 */
public final class SubmissionOrder {
    private SubmissionOrder() {}

    /**
     * Returns the records with that one of each job first by which the earlier term ran the job, as the job's progress
     * names it; or else the one that was stored first. Jobs keep the order of their first records.
     *
     * @param stored records in the order in which they were stored
     * @param progress the newest progress of each job
     */
    public static List<WorkSubmission> sort(List<WorkSubmission> stored, Collection<WorkProgress> progress) {
        Map<String, Long> acceptedByJob = new HashMap<>();
        progress.forEach(known -> acceptedByJob.put(known.job(), known.acceptedMilliseconds()));
        Map<String, List<WorkSubmission>> byJob = new LinkedHashMap<>();
        for (WorkSubmission submission : stored) {
            List<WorkSubmission> ofJob = byJob.computeIfAbsent(submission.job(), job -> new ArrayList<>(1));
            Long named = acceptedByJob.get(submission.job());
            boolean isFirst = !ofJob.isEmpty()
                    && named != null
                    && submission.acceptedMilliseconds() == named
                    && ofJob.get(0).acceptedMilliseconds() != named;
            ofJob.add(isFirst ? 0 : ofJob.size(), submission);
        }
        return byJob.values().stream().flatMap(List::stream).toList();
    }
}
