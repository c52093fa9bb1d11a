package org.cicadalead.logic.request;

/**
 * The slots of one worker from one entry process's point of view. The sum over all entry processes of {@code owned -
 * lent + borrowed} never exceeds the worker's slots, and a process starts nothing above its own. Immutable.
 *
 * @param owned slots that the membership gives to this process
 * @param lent owned slots that another process uses
 * @param borrowed slots of other processes that this one may use
 * @param used slots in use by this process, from the choice of the worker on
 */
public record SlotCounts(int owned, int lent, int borrowed, int used) {
    /** Counts of a worker that nothing is known of. */
    public static final SlotCounts NONE = new SlotCounts(0, 0, 0, 0);

    /** Returns the slots that this process may use at once. */
    public int limit() {
        return owned - lent + borrowed;
    }

    /** Returns the free slots; negative while a share that was taken away is still in use. */
    public int free() {
        return limit() - used;
    }

    /** Returns these counts with another number of owned slots. */
    public SlotCounts withOwned(int newOwned) {
        return new SlotCounts(newOwned, lent, borrowed, used);
    }

    /** Returns these counts with more, or fewer, slots in use. */
    public SlotCounts plusUsed(int more) {
        return new SlotCounts(owned, lent, borrowed, used + more);
    }

    /** Returns these counts with more, or fewer, slots lent. */
    public SlotCounts plusLent(int more) {
        return new SlotCounts(owned, lent + more, borrowed, used);
    }

    /** Returns these counts with more, or fewer, slots borrowed. */
    public SlotCounts plusBorrowed(int more) {
        return new SlotCounts(owned, lent, borrowed + more, used);
    }
}
