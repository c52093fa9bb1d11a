package org.cicadalead.model.job;

import org.cicadalead.model.configuration.HostDefinition;

/**
 * What a job needs of a host, or what a task has used. Immutable.
 *
 * @param processors processor cores
 * @param memoryGigabytes memory in gigabytes
 * @param accelerators accelerators
 */
public record JobSize(double processors, double memoryGigabytes, int accelerators) {
    /** Nothing. */
    public static final JobSize NONE = new JobSize(0, 0, 0);

    /** Checks that nothing is negative. */
    public JobSize {
        if (!(processors >= 0) || !(memoryGigabytes >= 0) || accelerators < 0) {
            throw new IllegalArgumentException("A size is negative or not a number");
        }
    }

    /** Returns all that a host has. */
    public static JobSize of(HostDefinition host) {
        return new JobSize(host.processors(), host.memoryGigabytes(), host.accelerators());
    }

    /** Tells whether this much fits into a room. */
    public boolean fitsInto(JobSize room) {
        return processors <= room.processors
                && memoryGigabytes <= room.memoryGigabytes
                && accelerators <= room.accelerators;
    }

    /** Returns the sum. */
    public JobSize plus(JobSize other) {
        return new JobSize(
                processors + other.processors,
                memoryGigabytes + other.memoryGigabytes,
                accelerators + other.accelerators);
    }

    /** Returns the difference, never below nothing. */
    public JobSize minus(JobSize other) {
        return new JobSize(
                Math.max(0, processors - other.processors),
                Math.max(0, memoryGigabytes - other.memoryGigabytes),
                Math.max(0, accelerators - other.accelerators));
    }

    /** Returns the smaller of each part. */
    public JobSize min(JobSize limit) {
        return new JobSize(
                Math.min(processors, limit.processors),
                Math.min(memoryGigabytes, limit.memoryGigabytes),
                Math.min(accelerators, limit.accelerators));
    }

    /** Returns the larger of each part. */
    public JobSize max(JobSize other) {
        return new JobSize(
                Math.max(processors, other.processors),
                Math.max(memoryGigabytes, other.memoryGigabytes),
                Math.max(accelerators, other.accelerators));
    }

    /** Returns the largest share that this takes of any part of a whole. */
    public double dominantShareOf(JobSize whole) {
        double share = Math.max(share(processors, whole.processors), share(memoryGigabytes, whole.memoryGigabytes));
        return Math.max(share, share(accelerators, whole.accelerators));
    }

    private static double share(double part, double whole) {
        return whole <= 0 ? 0 : part / whole;
    }

    @Override
    public String toString() {
        return processors + " processors, " + memoryGigabytes + " GB and " + accelerators + " accelerators";
    }
}
