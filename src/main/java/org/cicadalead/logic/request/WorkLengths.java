package org.cicadalead.logic.request;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * How long requests of a service hold a slot, by what they ask for, so that long work cannot take every slot from short
 * work. Means are exponentially weighted. Safe for use by several threads.
 */
public final class WorkLengths {
    /** Mean from which on work counts as long. */
    public static final Duration LONG_WORK = Duration.ofSeconds(1);

    private static final int RESERVED_PART = 4;
    private static final int MOST_KINDS = 1_000;
    private static final int WEIGHT_OF_THE_PAST = 7;
    private static final long FIRST_MEAN = Duration.ofMillis(20).toNanos();

    private final Map<String, AtomicLong> meanByKind = new ConcurrentHashMap<>();
    private final AtomicLong mean = new AtomicLong(FIRST_MEAN);

    /** Notes how long a request held a slot. */
    public void note(String kind, long nanoseconds) {
        mean.updateAndGet(held -> weigh(held, nanoseconds));
        AtomicLong known = meanByKind.get(kind);
        if (known != null) {
            known.updateAndGet(held -> weigh(held, nanoseconds));
        } else if (meanByKind.size() < MOST_KINDS) {
            meanByKind.putIfAbsent(kind, new AtomicLong(nanoseconds));
        }
    }

    /** Returns the mean over all requests. */
    public long meanNanoseconds() {
        return mean.get();
    }

    /** Tells whether work of a kind is long. */
    public boolean isLong(String kind) {
        AtomicLong known = meanByKind.get(kind);
        return known != null && known.get() >= LONG_WORK.toNanos();
    }

    /** Returns the slots of a number that long work may hold at once. */
    public static int slotsForLongWork(int slots) {
        return slots <= 1 ? slots : slots - slotsOwedToLongWork(slots);
    }

    /** Returns the slots of a number that long work may take before short work that waits. */
    public static int slotsOwedToLongWork(int slots) {
        return slots <= 1 ? 0 : Math.max(1, slots / RESERVED_PART);
    }

    private static long weigh(long held, long next) {
        return (held * WEIGHT_OF_THE_PAST + next) / (WEIGHT_OF_THE_PAST + 1);
    }
}
