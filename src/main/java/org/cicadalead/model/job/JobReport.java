package org.cicadalead.model.job;

import java.util.Optional;
import org.cicadalead.model.identity.JobIdentifier;

/**
 * A step of a job's task that the platform reported. Immutable.
 *
 * @param job the job
 * @param epoch the placement that the task belongs to; a report of an earlier one changes nothing
 * @param kind what happened
 * @param detail the result, the reason, or the checkpoint, after the kind
 */
public record JobReport(JobIdentifier job, int epoch, JobReportKind kind, Optional<String> detail) {
    /** Longest detail that is kept, in characters. */
    public static final int MAX_DETAIL_LENGTH = 256;

    /** Cuts an overlong detail. */
    public JobReport {
        detail = detail.map(text -> text.substring(0, Math.min(text.length(), MAX_DETAIL_LENGTH)));
    }
}
