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
    private static final double RECENT_QUANTILE = 0.95;
    private static final int LEAST_SAMPLES = 4;

    private final Map<PoolName, Deque<Sample>> samples = new HashMap<>();

    /** Takes in the newest report. */
    public void add(long nowMilliseconds, Map<PoolName, Double> busyHosts) {
        busyHosts.forEach((pool, busy) ->
                samples.computeIfAbsent(pool, unused -> new ArrayDeque<>()).addLast(new Sample(nowMilliseconds, busy)));
        for (Deque<Sample> perPool : samples.values()) {
            while (!perPool.isEmpty() && perPool.getFirst().time < nowMilliseconds - LENGTH_MILLISECONDS) {
                perPool.removeFirst();
            }
        }
    }

    /** Returns the hosts that each pool needed for most of the window, rounded down. */
    public Map<PoolName, Integer> sustained() {
        return quantiles(SUSTAINED_QUANTILE, false);
    }

    /** Returns the hosts that each pool needed at the busiest moments of the window, rounded up. */
    public Map<PoolName, Integer> recentPeak() {
        return quantiles(RECENT_QUANTILE, true);
    }

    private Map<PoolName, Integer> quantiles(double quantile, boolean up) {
        Map<PoolName, Integer> needed = new HashMap<>();
        samples.forEach((pool, window) -> {
            if (window.size() >= LEAST_SAMPLES) {
                double value = quantileOf(window, quantile);
                needed.put(pool, (int) (up ? Math.ceil(value) : Math.floor(value)));
            }
        });
        return needed;
    }

    private static double quantileOf(Deque<Sample> window, double quantile) {
        double[] sorted = window.stream().mapToDouble(Sample::busyHosts).toArray();
        Arrays.sort(sorted);
        return sorted[(int) Math.min(sorted.length - 1L, Math.round(quantile * (sorted.length - 1)))];
    }

    private record Sample(long time, double busyHosts) {}
}
