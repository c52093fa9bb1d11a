package org.cicadalead.logic.job;

import java.util.ArrayList;
import java.util.List;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.job.JobSize;
import org.cicadalead.model.job.JobState;
import org.cicadalead.model.job.JobSubmission;

/** Room on one host during a planning round. For use by one thread. */
final class HostRoom {
    private final HostName host;
    private final JobSize total;
    private final long lastPlacement;
    private final boolean probeOnly;
    private final List<RoomUse> uses = new ArrayList<>();
    private JobSize taken = JobSize.NONE;
    private boolean reserved;
    private boolean closed;

    HostRoom(HostName host, JobSize total, long lastPlacement, boolean probeOnly) {
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

    List<RoomUse> uses() {
        return uses;
    }

    /** Takes room for a job, also beyond what there is. */
    void take(JobState job, JobSize size, JobSize reported) {
        JobSize limited = size.atMost(total);
        uses.add(new RoomUse(job, limited, reported));
        taken = taken.plus(limited);
    }

    /** Returns what a job takes here: an estimate above the whole host is cut if the declared size fits. */
    JobSize sizeHere(JobSubmission submission, JobSize estimate) {
        return submission.size().fitsInto(total) ? estimate.atMost(total) : estimate;
    }

    /** Tells whether there is room now. */
    boolean takes(JobSize size) {
        return !reserved && !closed && !(probeOnly && !uses.isEmpty()) && size.fitsInto(total.minus(taken));
    }

    /** Tells whether the size fits once the given room is free. */
    boolean takesAfter(JobSize size, JobSize freed) {
        return !reserved && !closed && !probeOnly && size.fitsInto(total.minus(taken.minus(freed)));
    }

    /** Keeps the room that comes free for a job that was passed over, for the rest of the round. */
    void reserve() {
        reserved = true;
    }

    /** Gives no room to new work, as the host failed a short while ago. */
    void close() {
        closed = true;
    }

    /** Tells whether it can be reserved for a job that was passed over. */
    boolean isReservable() {
        return !reserved && !closed && !probeOnly;
    }

    /** Returns the part of the host that would be left, as a share; the smallest is the best fit. */
    double leftAfter(JobSize size) {
        return total.minus(taken).minus(size).dominantShareOf(total);
    }

    /** Returns the part of the host that is free now. */
    double free() {
        return total.minus(taken).dominantShareOf(total);
    }

    /**
     * Room that a job takes.
     *
     * @param job the job
     * @param size what it is expected to use
     * @param reported what its task was seen to use
     */
    record RoomUse(JobState job, JobSize size, JobSize reported) {}
}
