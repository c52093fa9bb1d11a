package org.cicadalead.model.work;

/**
 * Capacity of a host, or the part of it that a task requires. Immutable.
 *
 * @param milliCores thousandths of a processor core
 * @param memoryMegabytes memory in megabytes
 * @param accelerators number of accelerators
 */
public record HostCapacity(long milliCores, long memoryMegabytes, long accelerators) {
    /** Zero in every dimension. */
    public static final HostCapacity NONE = new HostCapacity(0, 0, 0);

    /** Returns the sum. */
    public HostCapacity plus(HostCapacity other) {
        return new HostCapacity(
                milliCores + other.milliCores,
                memoryMegabytes + other.memoryMegabytes,
                accelerators + other.accelerators);
    }

    /** Returns the difference, which may be negative. */
    public HostCapacity minus(HostCapacity other) {
        return new HostCapacity(
                milliCores - other.milliCores,
                memoryMegabytes - other.memoryMegabytes,
                accelerators - other.accelerators);
    }

    /** Returns the capacity of a number of equal parts. */
    public HostCapacity times(long count) {
        return new HostCapacity(milliCores * count, memoryMegabytes * count, accelerators * count);
    }

    /** Returns the lower value in each dimension. */
    public HostCapacity lowest(HostCapacity other) {
        return new HostCapacity(
                Math.min(milliCores, other.milliCores),
                Math.min(memoryMegabytes, other.memoryMegabytes),
                Math.min(accelerators, other.accelerators));
    }

    /** Returns the higher value in each dimension. */
    public HostCapacity highest(HostCapacity other) {
        return new HostCapacity(
                Math.max(milliCores, other.milliCores),
                Math.max(memoryMegabytes, other.memoryMegabytes),
                Math.max(accelerators, other.accelerators));
    }

    /** Returns whether this fits into the given capacity in every dimension that it uses. */
    public boolean fitsInto(HostCapacity available) {
        return fits(milliCores, available.milliCores)
                && fits(memoryMegabytes, available.memoryMegabytes)
                && fits(accelerators, available.accelerators);
    }

    /** Returns whether this exceeds the given capacity in no dimension. */
    public boolean isAtMost(HostCapacity other) {
        return milliCores <= other.milliCores
                && memoryMegabytes <= other.memoryMegabytes
                && accelerators <= other.accelerators;
    }

    private static boolean fits(long needed, long free) {
        return needed <= 0 || needed <= free;
    }
}
