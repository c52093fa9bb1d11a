package org.cicadalead.logic.capacity;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.cicadalead.model.identity.PoolName;

/**
 * Sliding window of the reported usage of each pool. Plans use a low quantile, the number of hosts needed for most of
 * the window, so that a burst shorter than a move is handled by queues and priorities, and a single late or outlying
 * report moves no host. Not thread-safe.
 */
public final class DemandWindow {
    /** Length of the window, in milliseconds. */
    public static final long LENGTH_MILLISECONDS = 5 * 60_000L;

    private static final double SUSTAINED_QUANTILE = 0.3;
    private static final int MIN_SAMPLES = 4;
    private static final long MIN_SPAN_MILLISECONDS = 2 * 60_000L;

    private final Map<PoolName, Deque<Sample>> samplesByPool = new HashMap<>();

    /** Adds a report and removes those older than the window. */
    public void add(long nowMilliseconds, Map<PoolName, Double> busyHosts) {
        busyHosts.forEach((pool, busy) -> samplesByPool
                .computeIfAbsent(pool, unused -> new ArrayDeque<>())
                .addLast(new Sample(nowMilliseconds, busy)));
        for (Deque<Sample> window : samplesByPool.values()) {
            while (!window.isEmpty() && window.getFirst().timeMilliseconds < nowMilliseconds - LENGTH_MILLISECONDS) {
                window.removeFirst();
            }
        }
    }

    /**
     * Returns the number of hosts that each pool needed for most of the window, rounded down; pools with too few
     * reports are left out.
     */
    public Map<PoolName, Integer> sustainedDemand() {
        Map<PoolName, Integer> needed = new HashMap<>();
        samplesByPool.forEach((pool, window) -> {
            if (isLongEnough(window)) {
                needed.put(pool, (int) Math.floor(calculateQuantile(window, SUSTAINED_QUANTILE)));
            }
        });
        return needed;
    }

    /**
     * Tells whether the reports cover enough time; a few reports close together do not show that demand is sustained.
     */
    private static boolean isLongEnough(Deque<Sample> window) {
        return window.size() >= MIN_SAMPLES
                && window.getLast().timeMilliseconds - window.getFirst().timeMilliseconds >= MIN_SPAN_MILLISECONDS;
    }

    private static double calculateQuantile(Deque<Sample> window, double quantile) {
        double[] sorted = window.stream().mapToDouble(Sample::busyHosts).toArray();
        Arrays.sort(sorted);
        return sorted[(int) Math.min(sorted.length - 1L, Math.round(quantile * (sorted.length - 1)))];
    }

    private record Sample(long timeMilliseconds, double busyHosts) {}
}
