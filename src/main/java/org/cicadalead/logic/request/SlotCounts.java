package org.cicadalead.logic.request;

/**
 * Slot counts of one worker in one entry process. The sum of {@code owned - lent + borrowed} over all entry processes
 * never exceeds the worker's slots, and a process starts no request above its own limit. Immutable.
 *
 * @param owned slots that the membership assigns to this process
 * @param lent owned slots that another process uses
 * @param borrowed slots of other processes that this one may use
 * @param used slots in use by this process, counted from the choice of the worker
 */
public record SlotCounts(int owned, int lent, int borrowed, int used) {
    /** Counts of a worker without any slots. */
    public static final SlotCounts NONE = new SlotCounts(0, 0, 0, 0);

    /** Returns the slots that this process may use at once. */
    public int limit() {
        return owned - lent + borrowed;
    }

    /** Returns the free slots; negative while slots that were taken away are still in use. */
    public int free() {
        return limit() - used;
    }

    /** Returns these counts with another number of owned slots. */
    public SlotCounts withOwned(int newOwned) {
        return new SlotCounts(newOwned, lent, borrowed, used);
    }

    /** Returns these counts with the slots in use changed by a positive or negative number. */
    public SlotCounts plusUsed(int delta) {
        return new SlotCounts(owned, lent, borrowed, used + delta);
    }

    /** Returns these counts with the lent slots changed by a positive or negative number. */
    public SlotCounts plusLent(int delta) {
        return new SlotCounts(owned, lent + delta, borrowed, used);
    }

    /** Returns these counts with the borrowed slots changed by a positive or negative number. */
    public SlotCounts plusBorrowed(int delta) {
        return new SlotCounts(owned, lent, borrowed + delta, used);
    }
}
