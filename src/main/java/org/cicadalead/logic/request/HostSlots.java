package org.cicadalead.logic.request;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/**
 * Slot counts of one worker, updated by the threads of this process without a lock. Safe for use by several threads.
 */
public final class HostSlots {
    private final AtomicReference<SlotCounts> counts = new AtomicReference<>(SlotCounts.NONE);

    /** Returns the current counts. */
    public SlotCounts counts() {
        return counts.get();
    }

    /** Acquires a slot if one is free and fewer than the given number are in use. */
    public boolean tryAcquire(int maxUsed) {
        return updateIf(current -> current.free() > 0 && current.used() < maxUsed, current -> current.plusUsed(1));
    }

    /** Releases an acquired slot. */
    public void release() {
        counts.updateAndGet(current -> current.plusUsed(-1));
    }

    /** Lends a free owned slot to another process; returns false when none is free. */
    public boolean tryLend() {
        return updateIf(
                current -> current.free() > 0 && current.owned() > current.lent(), current -> current.plusLent(1));
    }

    /** Takes back a slot that was lent. */
    public void reclaimLent() {
        counts.updateAndGet(current -> current.plusLent(-1));
    }

    /** Adds a borrowed slot. */
    public void addBorrowed() {
        counts.updateAndGet(current -> current.plusBorrowed(1));
    }

    /**
     * Removes a borrowed slot from the counts. It may be returned to its owner once no more slots are in use than the
     * counts permit.
     */
    public void removeBorrowed() {
        counts.updateAndGet(current -> current.plusBorrowed(-1));
    }

    /** Sets the number of slots that the membership assigns to this process. */
    public void setOwned(int owned) {
        if (counts.get().owned() != owned) {
            counts.updateAndGet(current -> current.withOwned(owned));
        }
    }

    private boolean updateIf(Predicate<SlotCounts> condition, UnaryOperator<SlotCounts> change) {
        SlotCounts current = counts.get();
        while (condition.test(current)) {
            if (counts.compareAndSet(current, change.apply(current))) {
                return true;
            }
            current = counts.get();
        }
        return false;
    }
}
