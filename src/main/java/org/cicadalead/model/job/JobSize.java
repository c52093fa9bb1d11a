package org.cicadalead.model.job;

import org.cicadalead.model.configuration.HostDefinition;

/**
 * Resources that a job requires of a host, or that a task has used. Immutable.
 *
 * @param processors number of processor cores
 * @param memoryGigabytes memory in gigabytes
 * @param accelerators number of accelerators
 */
public record JobSize(double processors, double memoryGigabytes, int accelerators) {
    /** No resources. */
    public static final JobSize NONE = new JobSize(0, 0, 0);

    /** Checks that no resource is negative or not a number. */
    public JobSize {
        if (!(processors >= 0) || !(memoryGigabytes >= 0) || accelerators < 0) {
            throw new IllegalArgumentException("A size is negative or not a number");
        }
    }

    /** Returns the declared size of a host. */
    public static JobSize of(HostDefinition host) {
        return new JobSize(host.processors(), host.memoryGigabytes(), host.accelerators());
    }

    /** Returns whether this size fits into a capacity. */
    public boolean fitsInto(JobSize capacity) {
        return processors <= capacity.processors
                && memoryGigabytes <= capacity.memoryGigabytes
                && accelerators <= capacity.accelerators;
    }

    /** Returns the sum of each resource. */
    public JobSize plus(JobSize other) {
        return new JobSize(
                processors + other.processors,
                memoryGigabytes + other.memoryGigabytes,
                accelerators + other.accelerators);
    }

    /** Returns the difference of each resource, at least 0. */
    public JobSize minus(JobSize other) {
        return new JobSize(
                Math.max(0, processors - other.processors),
                Math.max(0, memoryGigabytes - other.memoryGigabytes),
                Math.max(0, accelerators - other.accelerators));
    }

    /** Returns the minimum of each resource. */
    public JobSize min(JobSize other) {
        return new JobSize(
                Math.min(processors, other.processors),
                Math.min(memoryGigabytes, other.memoryGigabytes),
                Math.min(accelerators, other.accelerators));
    }

    /** Returns the maximum of each resource. */
    public JobSize max(JobSize other) {
        return new JobSize(
                Math.max(processors, other.processors),
                Math.max(memoryGigabytes, other.memoryGigabytes),
                Math.max(accelerators, other.accelerators));
    }

    /** Returns the dominant share: the largest share that this size has of any resource of a whole. */
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
