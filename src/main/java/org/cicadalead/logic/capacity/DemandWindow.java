package org.cicadalead.logic.capacity;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.cicadalead.model.identity.PoolName;

/**
 * Reported usage of the last minutes. Plans use a low quantile of it: what was needed for most of the window, so that a
 * burst shorter than a move is left to queues and priorities, and one late or wild report moves no host. For use by one
 * thread.
 */
public final class DemandWindow {
    /** Length of the window in milliseconds. */
    public static final long LENGTH_MILLISECONDS = 5 * 60_000L;

    private static final double SUSTAINED_QUANTILE = 0.3;
    private static final int MIN_SAMPLES = 4;
    private static final long MIN_SPAN_MILLISECONDS = 2 * 60_000L;

    private final Map<PoolName, Deque<Sample>> samplesByPool = new HashMap<>();

    /** Takes in the newest report. */
    public void add(long nowMilliseconds, Map<PoolName, Double> busyHosts) {
        busyHosts.forEach((pool, busy) -> samplesByPool
                .computeIfAbsent(pool, unused -> new ArrayDeque<>())
                .addLast(new Sample(nowMilliseconds, busy)));
        for (Deque<Sample> perPool : samplesByPool.values()) {
            while (!perPool.isEmpty() && perPool.getFirst().timeMilliseconds < nowMilliseconds - LENGTH_MILLISECONDS) {
                perPool.removeFirst();
            }
        }
    }

    /** Returns the hosts that each pool needed for most of the window, rounded down. */
    public Map<PoolName, Integer> sustainedDemand() {
        Map<PoolName, Integer> needed = new HashMap<>();
        samplesByPool.forEach((pool, window) -> {
            if (isLongEnough(window)) {
                needed.put(pool, (int) Math.floor(calculateQuantile(window, SUSTAINED_QUANTILE)));
            }
        });
        return needed;
    }

    /** A few reports of one moment do not show that demand lasts. */
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
