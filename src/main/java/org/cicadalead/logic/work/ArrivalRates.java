package org.cicadalead.logic.work;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how much work arrives for each service. Older arrivals fade, so that the beginning of a turn of demand
 * shows within a fraction of a second, and its end soon after. For use by one thread.
 */
final class ArrivalRates {
    /** Time in which an arrival fades to about a third: a few arrivals at a turn's rate, and a quarter of a turn. */
    private static final double FADE_MILLISECONDS = 1_000;

    private final Map<String, Faded> arrivals = new HashMap<>();

    void add(String service, double coreMilliseconds, long now) {
        Faded before = arrivals.getOrDefault(service, new Faded(0, now));
        arrivals.put(service, new Faded(before.at(now) + coreMilliseconds, now));
    }

    /** Returns the cores that the arriving work keeps busy. */
    double cores(String service, long now) {
        return arrivals.getOrDefault(service, new Faded(0, now)).at(now) / FADE_MILLISECONDS;
    }

    private record Faded(double amount, long time) {
        double at(long now) {
            return amount * Math.exp(-(now - time) / FADE_MILLISECONDS);
        }
    }
}
