package org.cicadalead.bench.requests;

/** A strategy by which several entry processes keep the slot limits of the workers they share. */
public enum LimitStrategy {
    /** Each process owns a fixed share of each worker's slots. */
    SHARES(true, false, 0),
    /** Fixed shares, but a process with waiting requests borrows free slots of another process. */
    SHARES_WITH_LOANS(true, true, 0),
    /** Each process picks the less loaded of two random workers, by the load in the latest heartbeats. */
    TWO_CHOICES(false, false, 0),
    /** One process assigns all slots; another process takes over when it fails. */
    DISPATCHER(false, false, 10_000);

    private final boolean usesShares;
    private final boolean lendsSlots;
    private final int takeOverMilliseconds;

    LimitStrategy(boolean usesShares, boolean lendsSlots, int takeOverMilliseconds) {
        this.usesShares = usesShares;
        this.lendsSlots = lendsSlots;
        this.takeOverMilliseconds = takeOverMilliseconds;
    }

    boolean usesShares() {
        return usesShares;
    }

    boolean lendsSlots() {
        return lendsSlots;
    }

    int takeOverMilliseconds() {
        return takeOverMilliseconds;
    }
}
