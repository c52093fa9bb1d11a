package org.cicadalead.logic.work;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how much work arrives for each service. Older arrivals fade, so that the beginning of a turn of demand
 * shows within a fraction of a second, and its end soon after. For use by one thread.
 */
final class ArrivalRates {
    /** Time in which an arrival fades to about a third: a few arrivals at a turn's rate, and a quarter of a turn. */
    private static final double DECAY_MILLISECONDS = 1_000;

    /** The same for the beginning of a turn: a dozen arrivals at a turn's rate, and well under the time of a move. */
    private static final double FAST_DECAY_MILLISECONDS = 350;

    /** Share of the quick estimate that counts: one large job alone raises it that far (a ratio). */
    private static final double FAST_SHARE = 0.8;

    private final Map<String, DecayingSum> arrivals = new HashMap<>();
    private final Map<String, DecayingSum> fastArrivals = new HashMap<>();

    void add(String service, double coreMilliseconds, long now) {
        add(arrivals, DECAY_MILLISECONDS, service, coreMilliseconds, now);
        add(fastArrivals, FAST_DECAY_MILLISECONDS, service, coreMilliseconds, now);
    }

    private static void add(
            Map<String, DecayingSum> estimates, double fade, String service, double coreMilliseconds, long now) {
        double before = estimates.containsKey(service) ? estimates.get(service).amountAt(now, fade) : 0;
        estimates.put(service, new DecayingSum(before + coreMilliseconds, now));
    }

    /** Returns the cores that the arriving work keeps busy. */
    double estimateCores(String service, long now) {
        return Math.max(
                estimate(arrivals, DECAY_MILLISECONDS, service, now),
                FAST_SHARE * estimate(fastArrivals, FAST_DECAY_MILLISECONDS, service, now));
    }

    private static double estimate(Map<String, DecayingSum> estimates, double fade, String service, long now) {
        DecayingSum faded = estimates.get(service);
        return faded == null ? 0 : faded.amountAt(now, fade) / fade;
    }

    private record DecayingSum(double amount, long time) {
        double amountAt(long now, double fade) {
            return amount * Math.exp(-(now - time) / fade);
        }
    }
}
