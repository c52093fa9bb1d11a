package org.cicadalead.logic.job;

import java.util.ArrayList;
import java.util.List;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.job.JobSize;
import org.cicadalead.model.job.JobState;
import org.cicadalead.model.job.JobSubmission;

/** Tracks the allocated and the free capacity of one host during a planning cycle. Not thread-safe. */
final class HostAllocation {
    private final HostName host;
    private final JobSize total;
    private final long lastPlacement;
    private final boolean probeOnly;
    private final List<AllocatedJob> allocatedJobs = new ArrayList<>();
    private JobSize allocated = JobSize.NONE;
    private boolean reserved;
    private boolean newJobsDisallowed;

    HostAllocation(HostName host, JobSize total, long lastPlacement, boolean probeOnly) {
        this.host = host;
        this.total = total;
        this.lastPlacement = lastPlacement;
        this.probeOnly = probeOnly;
    }

    HostName host() {
        return host;
    }

    JobSize total() {
        return total;
    }

    long lastPlacement() {
        return lastPlacement;
    }

    List<AllocatedJob> allocatedJobs() {
        return allocatedJobs;
    }

    /** Allocates capacity to a job, even if that exceeds the free capacity. */
    void allocate(JobState job, JobSize size, JobSize reportedUsage) {
        JobSize limited = size.min(total);
        allocatedJobs.add(new AllocatedJob(job, limited, reportedUsage));
        allocated = allocated.plus(limited);
    }

    /**
     * Returns the capacity to allocate to a job: an estimate above the host's size is limited to that size if the
     * declared size fits.
     */
    JobSize sizeOnHost(JobSubmission submission, JobSize estimate) {
        return submission.size().fitsInto(total) ? estimate.min(total) : estimate;
    }

    /** Returns whether the size fits into the free capacity and the host accepts new jobs. */
    boolean canFit(JobSize size) {
        return !reserved
                && !newJobsDisallowed
                && !(probeOnly && !allocatedJobs.isEmpty())
                && size.fitsInto(total.minus(allocated));
    }

    /** Returns whether the size fits once the given capacity has been freed. */
    boolean canFitAfterFreeing(JobSize size, JobSize freed) {
        return !reserved && !newJobsDisallowed && !probeOnly && size.fitsInto(total.minus(allocated.minus(freed)));
    }

    /**
     * Reserves the capacity that becomes free for a job that could not be placed, until the end of the planning cycle.
     */
    void reserve() {
        reserved = true;
    }

    /** Disallows new jobs because a job failed on the host recently. */
    void disallowNewJobs() {
        newJobsDisallowed = true;
    }

    /** Returns whether the host can be reserved for a job that could not be placed. */
    boolean isReservable() {
        return !reserved && !newJobsDisallowed && !probeOnly;
    }

    /** Returns the share of the host that would remain free after an allocation; the smallest share is the best fit. */
    double freeShareAfter(JobSize size) {
        return total.minus(allocated).minus(size).dominantShareOf(total);
    }

    /** Returns the share of the host that is free. */
    double freeShare() {
        return total.minus(allocated).dominantShareOf(total);
    }

    /**
     * Capacity that is allocated to a job.
     *
     * @param job the job
     * @param size expected usage, limited to the size of the host
     * @param reportedUsage usage of its task as reported by the platform
     */
    record AllocatedJob(JobState job, JobSize size, JobSize reportedUsage) {}
}
