package org.cicadalead.logic.request;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/**
 * Checks that the slot counts of a worker are linearizable while a few threads acquire, lend and borrow slots in any
 * interleaving.
 */
public class HostSlotsLincheckTest {
    private final HostSlots slots = new HostSlots();

    public HostSlotsLincheckTest() {
        slots.setOwned(2);
    }

    @Operation
    public boolean tryAcquire() {
        return slots.tryAcquire(Integer.MAX_VALUE);
    }

    @Operation
    public boolean tryLend() {
        return slots.tryLend();
    }

    @Operation
    public void addBorrowed() {
        slots.addBorrowed();
    }

    @Operation
    public void reduceOwned() {
        slots.setOwned(1);
    }

    @Operation
    public int free() {
        return slots.counts().free();
    }

    @Test
    void isLinearizable() {
        new ModelCheckingOptions()
                .iterations(20)
                .invocationsPerIteration(500)
                .threads(3)
                .actorsPerThread(2)
                .actorsBefore(0)
                .actorsAfter(1)
                .check(HostSlotsLincheckTest.class);
    }
}
