package org.cicadalead.logic.request;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * How long requests of a service hold a slot, by what they ask for, so that long work cannot take every slot from short
 * work. Means are exponentially weighted. Safe for use by several threads.
 */
public final class WorkDurations {
    /** Mean from which on work counts as long. */
    public static final Duration LONG_WORK_THRESHOLD = Duration.ofSeconds(1);

    private static final int RESERVED_SLOTS_DIVISOR = 4;
    private static final int MAX_KINDS = 1_000;
    private static final int HISTORY_WEIGHT = 7;
    private static final long INITIAL_MEAN_NANOSECONDS = Duration.ofMillis(20).toNanos();

    private final Map<String, AtomicLong> meanByKind = new ConcurrentHashMap<>();
    private final AtomicLong mean = new AtomicLong(INITIAL_MEAN_NANOSECONDS);

    /** Notes how long a request held a slot. */
    public void recordDuration(String kind, long nanoseconds) {
        mean.updateAndGet(held -> computeWeightedMean(held, nanoseconds));
        AtomicLong known = meanByKind.get(kind);
        if (known != null) {
            known.updateAndGet(held -> computeWeightedMean(held, nanoseconds));
        } else if (meanByKind.size() < MAX_KINDS) {
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
        return known != null && known.get() >= LONG_WORK_THRESHOLD.toNanos();
    }

    /** Returns the slots of a number that long work may hold at once. */
    public static int maxLongWorkSlots(int slots) {
        return slots <= 1 ? slots : slots - reservedLongWorkSlots(slots);
    }

    /** Returns the slots of a number that long work may take before short work that waits. */
    public static int reservedLongWorkSlots(int slots) {
        return slots <= 1 ? 0 : Math.max(1, slots / RESERVED_SLOTS_DIVISOR);
    }

    private static long computeWeightedMean(long held, long next) {
        return (held * HISTORY_WEIGHT + next) / (HISTORY_WEIGHT + 1);
    }
}
