package org.cicadalead.logic.request;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Tracks how long requests of a service hold a slot, by kind of work, so that long work cannot take every slot from
 * short work. Means are exponentially weighted. Safe for use by several threads.
 */
public final class WorkDurations {
    /** Minimum mean duration of long work. */
    public static final Duration LONG_WORK_THRESHOLD = Duration.ofSeconds(1);

    private static final int RESERVED_SLOTS_DIVISOR = 4;
    private static final int MAX_KINDS = 1_000;
    private static final int HISTORY_WEIGHT = 7;
    private static final long INITIAL_MEAN_NANOSECONDS = Duration.ofMillis(20).toNanos();

    private final Map<String, AtomicLong> meanByKind = new ConcurrentHashMap<>();
    private final AtomicLong mean = new AtomicLong(INITIAL_MEAN_NANOSECONDS);

    /** Records how long a request held a slot. */
    public void recordDuration(String kind, long nanoseconds) {
        mean.updateAndGet(oldMean -> computeWeightedMean(oldMean, nanoseconds));
        AtomicLong kindMean = meanByKind.get(kind);
        if (kindMean != null) {
            kindMean.updateAndGet(oldMean -> computeWeightedMean(oldMean, nanoseconds));
        } else if (meanByKind.size() < MAX_KINDS) {
            meanByKind.putIfAbsent(kind, new AtomicLong(nanoseconds));
        }
    }

    /** Returns the mean duration over all requests. */
    public long meanNanoseconds() {
        return mean.get();
    }

    /** Returns whether work of a kind is long; false for an unknown kind. */
    public boolean isLong(String kind) {
        AtomicLong kindMean = meanByKind.get(kind);
        return kindMean != null && kindMean.get() >= LONG_WORK_THRESHOLD.toNanos();
    }

    /** Returns how many of the given slots long work may hold at once. */
    public static int maxLongWorkSlots(int slots) {
        return slots <= 1 ? slots : slots - reservedLongWorkSlots(slots);
    }

    /** Returns how many of the given slots long work may take before waiting short work. */
    public static int reservedLongWorkSlots(int slots) {
        return slots <= 1 ? 0 : Math.max(1, slots / RESERVED_SLOTS_DIVISOR);
    }

    private static long computeWeightedMean(long oldMean, long nanoseconds) {
        return (oldMean * HISTORY_WEIGHT + nanoseconds) / (HISTORY_WEIGHT + 1);
    }
}
