package org.cicadalead.logic.request;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/** The slots of one worker, shared by the threads of this process without a lock. Safe for use by several threads. */
public final class HostSlots {
    private final AtomicReference<SlotCounts> counts = new AtomicReference<>(SlotCounts.NONE);

    /** Returns the newest counts. */
    public SlotCounts counts() {
        return counts.get();
    }

    /** Takes a slot when one is free and fewer than the given number are in use. */
    public boolean tryAcquire(int mostUsed) {
        return updateIf(held -> held.free() > 0 && held.used() < mostUsed, held -> held.plusUsed(1));
    }

    /** Gives back a slot that was taken. */
    public void release() {
        counts.updateAndGet(held -> held.plusUsed(-1));
    }

    /** Lends a free slot of its own to another process; false when none is free. */
    public boolean tryLend() {
        return updateIf(held -> held.free() > 0 && held.owned() > held.lent(), held -> held.plusLent(1));
    }

    /** Takes a lent slot back. */
    public void reclaimLent() {
        counts.updateAndGet(held -> held.plusLent(-1));
    }

    /** Adds a borrowed slot. */
    public void addBorrowed() {
        counts.updateAndGet(held -> held.plusBorrowed(1));
    }

    /** Takes a borrowed slot out of use; it may be given back once no more slots are in use than this process has. */
    public void removeBorrowed() {
        counts.updateAndGet(held -> held.plusBorrowed(-1));
    }

    /** Sets the slots that the membership gives to this process. */
    public void setOwned(int owned) {
        if (counts.get().owned() != owned) {
            counts.updateAndGet(held -> held.withOwned(owned));
        }
    }

    private boolean updateIf(Predicate<SlotCounts> condition, UnaryOperator<SlotCounts> change) {
        SlotCounts before = counts.get();
        while (condition.test(before)) {
            if (counts.compareAndSet(before, change.apply(before))) {
                return true;
            }
            before = counts.get();
        }
        return false;
    }
}
