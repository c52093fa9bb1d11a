package org.cicadalead.logic.work;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the rate at which work arrives for each service, ahead by the time that a machine takes to move: the demand
 * of a queue rises over some seconds to several times its mean, and machines that are ordered for the present rate come
 * when it is twice as high. The weight of arrivals decays exponentially, so that the start of a demand peak shows
 * within a fraction of a second, and its end soon after. Not thread-safe.
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

    /** Decay times of the two estimates whose difference shows how fast the rate rises. */
    private static final double RECENT_DECAY_MILLISECONDS = 600;

    private static final double EARLIER_DECAY_MILLISECONDS = 1_500;

    /** Time from an order to move a machine until its host gets work: the move, the registration and the first poll. */
    private static final double LEAD_MILLISECONDS = 2_200;

    /** Limit of the expected rate relative to the present one (a ratio). */
    private static final double MAX_EXPECTED_RATE = 3;

    /** Number of recent arrivals at which half of a rise counts, as a single large job looks like a steep one. */
    private static final double HALF_CONFIDENCE_ARRIVALS = 2;

    private final Map<String, ServiceRates> rates = new HashMap<>();

    void add(String service, double coreMilliseconds, long now) {
        rates.merge(
                service,
                ServiceRates.NONE.plus(coreMilliseconds, now),
                (earlier, first) -> earlier.plus(coreMilliseconds, now));
    }

    /** Returns the estimated number of cores that the arriving work keeps busy. */
    double estimateCores(String service, long now) {
        ServiceRates arrived = rates.getOrDefault(service, ServiceRates.NONE);
        return Math.max(
                arrived.arrivals().rateAt(now, DECAY_MILLISECONDS),
                FAST_SHARE * arrived.fastArrivals().rateAt(now, FAST_DECAY_MILLISECONDS));
    }

    /** Returns by how many cores the estimate is expected to rise until a machine that is ordered now arrives. */
    double estimateRise(String service, long now) {
        double present = estimateCores(service, now);
        double expected = expectRate(rates.getOrDefault(service, ServiceRates.NONE), now);
        return Math.max(0, Math.min(MAX_EXPECTED_RATE * present, expected) - present);
    }

    /** Extends the rise of the rate; an exponential average lags behind a steady rise by its decay time. */
    private static double expectRate(ServiceRates arrived, long now) {
        double recent = arrived.recentArrivals().rateAt(now, RECENT_DECAY_MILLISECONDS);
        double earlier = arrived.earlierArrivals().rateAt(now, EARLIER_DECAY_MILLISECONDS);
        double risePerMillisecond = (recent - earlier) / (EARLIER_DECAY_MILLISECONDS - RECENT_DECAY_MILLISECONDS);
        double count = arrived.recentCount().amountAt(now, RECENT_DECAY_MILLISECONDS);
        double confidence = count / (count + HALF_CONFIDENCE_ARRIVALS);
        return recent + confidence * risePerMillisecond * (RECENT_DECAY_MILLISECONDS + LEAD_MILLISECONDS);
    }

    /** Sums of the arrivals of one service with different decay times. Immutable. */
    private record ServiceRates(
            DecayingSum arrivals,
            DecayingSum fastArrivals,
            DecayingSum recentArrivals,
            DecayingSum earlierArrivals,
            DecayingSum recentCount) {
        static final ServiceRates NONE = new ServiceRates(
                DecayingSum.NONE, DecayingSum.NONE, DecayingSum.NONE, DecayingSum.NONE, DecayingSum.NONE);

        ServiceRates plus(double amount, long now) {
            return new ServiceRates(
                    arrivals.plus(amount, now, DECAY_MILLISECONDS),
                    fastArrivals.plus(amount, now, FAST_DECAY_MILLISECONDS),
                    recentArrivals.plus(amount, now, RECENT_DECAY_MILLISECONDS),
                    earlierArrivals.plus(amount, now, EARLIER_DECAY_MILLISECONDS),
                    recentCount.plus(1, now, RECENT_DECAY_MILLISECONDS));
        }
    }

    /** A sum whose parts lose weight with time. Immutable. */
    private record DecayingSum(double amount, long time) {
        static final DecayingSum NONE = new DecayingSum(0, 0);

        DecayingSum plus(double added, long now, double decayMilliseconds) {
            return new DecayingSum(amountAt(now, decayMilliseconds) + added, now);
        }

        double rateAt(long now, double decayMilliseconds) {
            return amountAt(now, decayMilliseconds) / decayMilliseconds;
        }

        double amountAt(long now, double decayMilliseconds) {
            return amount == 0 ? 0 : amount * Math.exp(-(now - time) / decayMilliseconds);
        }
    }
}
