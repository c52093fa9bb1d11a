package org.cicadalead.model.job;

import java.util.Optional;
import org.cicadalead.model.identity.JobIdentifier;

/**
 * A change of a job's task that the platform reported. Immutable.
 *
 * @param job the job
 * @param epoch epoch of the placement that the task belongs to; a report of an earlier epoch is rejected
 * @param kind what happened
 * @param detail the result, the reason or the checkpoint, depending on the kind
 */
public record JobReport(JobIdentifier job, int epoch, JobReportKind kind, Optional<String> detail) {
    /** Maximum length of a detail in characters. */
    public static final int MAX_DETAIL_LENGTH = 256;

    /** Truncates a detail that is too long. */
    public JobReport {
        detail = detail.map(text -> text.substring(0, Math.min(text.length(), MAX_DETAIL_LENGTH)));
    }
}
