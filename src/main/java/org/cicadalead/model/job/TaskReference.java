package org.cicadalead.model.job;

import java.util.Comparator;
import org.cicadalead.model.identity.JobIdentifier;

/**
 * Identifies a task: the run of a job under one epoch. Ordered by job and epoch. Immutable.
 *
 * @param job the job
 * @param epoch epoch of the placement, from 1
 */
public record TaskReference(JobIdentifier job, int epoch) implements Comparable<TaskReference> {
    private static final Comparator<TaskReference> ORDER =
            Comparator.comparing(TaskReference::job).thenComparingInt(TaskReference::epoch);

    @Override
    public int compareTo(TaskReference other) {
        return ORDER.compare(this, other);
    }
}
