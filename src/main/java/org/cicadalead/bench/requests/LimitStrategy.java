package org.cicadalead.bench.requests;

/** A way to keep workers' slots over several entry processes. */
public enum LimitStrategy {
    /** Each process owns a fixed share of each worker's slots. */
    SHARES(true, false, 0),
    /** Shares, and a process with requests waiting borrows free slots of another one. */
    SHARES_WITH_LOANS(true, true, 0),
    /** Each process picks the better of two random workers by the load in the newest heartbeats. */
    TWO_CHOICES(false, false, 0),
    /** One process hands out every slot; another takes over when it dies. */
    DISPATCHER(false, false, 10_000);

    private final boolean usesShares;
    private final boolean lendsSlots;
    private final int takeOverMilliseconds;

    LimitStrategy(boolean usesShares, boolean lends, int takeOverMilliseconds) {
        this.usesShares = usesShares;
        this.lendsSlots = lends;
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
