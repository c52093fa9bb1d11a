package org.cicadalead.logic.work;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the rate at which work arrives for each service. The weight of arrivals decays exponentially, so that the
 * start of a demand peak shows within a fraction of a second, and its end soon after. Not thread-safe.
 */
final class ArrivalRates {
    /**
     * Time in which the weight of an arrival decays to about a third: a few arrivals at peak rate, and a quarter of a
     * demand peak.
     */
    private static final double DECAY_MILLISECONDS = 1_000;

    /**
     * Decay time for detecting the start of a demand peak: a dozen arrivals at peak rate, and well below the time of a
     * move.
     */
    private static final double FAST_DECAY_MILLISECONDS = 350;

    /** Weight of the fast estimate, reduced because a single large job raises it by that much (a ratio). */
    private static final double FAST_SHARE = 0.8;

    private final Map<String, DecayingSum> arrivals = new HashMap<>();
    private final Map<String, DecayingSum> fastArrivals = new HashMap<>();

    void add(String service, double coreMilliseconds, long now) {
        add(arrivals, DECAY_MILLISECONDS, service, coreMilliseconds, now);
        add(fastArrivals, FAST_DECAY_MILLISECONDS, service, coreMilliseconds, now);
    }

    private static void add(
            Map<String, DecayingSum> estimates,
            double decayMilliseconds,
            String service,
            double coreMilliseconds,
            long now) {
        double previousAmount =
                estimates.containsKey(service) ? estimates.get(service).amountAt(now, decayMilliseconds) : 0;
        estimates.put(service, new DecayingSum(previousAmount + coreMilliseconds, now));
    }

    /** Returns the estimated number of cores that the arriving work keeps busy. */
    double estimateCores(String service, long now) {
        return Math.max(
                estimate(arrivals, DECAY_MILLISECONDS, service, now),
                FAST_SHARE * estimate(fastArrivals, FAST_DECAY_MILLISECONDS, service, now));
    }

    private static double estimate(
            Map<String, DecayingSum> estimates, double decayMilliseconds, String service, long now) {
        DecayingSum decayingSum = estimates.get(service);
        return decayingSum == null ? 0 : decayingSum.amountAt(now, decayMilliseconds) / decayMilliseconds;
    }

    private record DecayingSum(double amount, long time) {
        double amountAt(long now, double decayMilliseconds) {
            return amount * Math.exp(-(now - time) / decayMilliseconds);
        }
    }
}
