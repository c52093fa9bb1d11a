package org.cicadalead.logic.job;

import java.util.ArrayList;
import java.util.List;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.job.JobSize;
import org.cicadalead.model.job.JobState;
import org.cicadalead.model.job.JobSubmission;

/** Room on one host during a planning round. For use by one thread. */
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

    /** Takes room for a job, also beyond what there is. */
    void allocate(JobState job, JobSize size, JobSize reported) {
        JobSize limited = size.min(total);
        allocatedJobs.add(new AllocatedJob(job, limited, reported));
        allocated = allocated.plus(limited);
    }

    /** Returns what a job takes here: an estimate above the whole host is cut if the declared size fits. */
    JobSize sizeOnHost(JobSubmission submission, JobSize estimate) {
        return submission.size().fitsInto(total) ? estimate.min(total) : estimate;
    }

    /** Tells whether there is room now. */
    boolean canFit(JobSize size) {
        return !reserved
                && !newJobsDisallowed
                && !(probeOnly && !allocatedJobs.isEmpty())
                && size.fitsInto(total.minus(allocated));
    }

    /** Tells whether the size fits once the given room is free. */
    boolean canFitAfterFreeing(JobSize size, JobSize freed) {
        return !reserved && !newJobsDisallowed && !probeOnly && size.fitsInto(total.minus(allocated.minus(freed)));
    }

    /** Keeps the room that comes free for a job that was passed over, for the rest of the round. */
    void reserve() {
        reserved = true;
    }

    /** Gives no room to new work, as the host failed a short while ago. */
    void disallowNewJobs() {
        newJobsDisallowed = true;
    }

    /** Tells whether it can be reserved for a job that was passed over. */
    boolean isReservable() {
        return !reserved && !newJobsDisallowed && !probeOnly;
    }

    /** Returns the part of the host that would be left, as a share; the smallest is the best fit. */
    double freeShareAfter(JobSize size) {
        return total.minus(allocated).minus(size).dominantShareOf(total);
    }

    /** Returns the part of the host that is free now. */
    double freeShare() {
        return total.minus(allocated).dominantShareOf(total);
    }

    /**
     * Room that a job takes.
     *
     * @param job the job
     * @param size what it is expected to use
     * @param reportedUsage what its task was seen to use
     */
    record AllocatedJob(JobState job, JobSize size, JobSize reportedUsage) {}
}
