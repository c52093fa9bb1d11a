package org.cicadalead.model.work;

/**
 * Room on a host, or what a task needs of it. Immutable.
 *
 * @param milliCores thousandths of a processor core
 * @param memoryMegabytes memory in megabytes
 * @param accelerators accelerators
 */
public record HostCapacity(long milliCores, long memoryMegabytes, long accelerators) {
    /** No room at all. */
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

    /** Tells whether this fits into the given room in every dimension that it uses. */
    public boolean fitsInto(HostCapacity room) {
        return fits(milliCores, room.milliCores)
                && fits(memoryMegabytes, room.memoryMegabytes)
                && fits(accelerators, room.accelerators);
    }

    private static boolean fits(long needed, long free) {
        return needed <= 0 || needed <= free;
    }
}
