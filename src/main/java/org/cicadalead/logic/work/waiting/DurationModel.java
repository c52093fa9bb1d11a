package org.cicadalead.logic.work.waiting;

/**
 * Expected durations of the tasks of one queue, learned from those that ended. Answers a load whose estimates are off
 * by several times: there an estimate tells little, and most tasks take what the queue's tasks usually take. The
 * logarithm of the duration is a linear function of the logarithm of the estimate, with a normal deviation; it starts
 * from durations that are as estimated, and recent steps weigh more. Its state is bounded. Not thread-safe.
 */
public final class DurationModel {
    /** Steps whose weight the initial assumption has: about the ends of a queue's first second in a demand peak. */
    private static final double INITIAL_STEPS = 8;

    /** Initial standard deviation of the logarithm: estimates deviate by a fifth and tasks of a step by a third. */
    private static final double INITIAL_DEVIATION = 0.3;

    /** Initial variance of the logarithm of the estimates: durations of a queue's steps differ by half. */
    private static final double INITIAL_SPREAD = 0.25;

    /** Number of later steps after which the weight of one has fallen to about a third; a few demand peaks. */
    private static final double MEMORY_STEPS = 400;

    private double weight;
    private double estimates;
    private double durations;
    private double estimatesSquared;
    private double products;
    private double durationsSquared;

    private double slope = 1;
    private double meanEstimate;
    private double meanDuration;
    private double deviation = INITIAL_DEVIATION;

    /**
     * Adds a task that has ended on a sound host.
     *
     * @param estimatedMilliseconds its estimated duration
     * @param milliseconds its duration
     * @param share the task's share of its step, as the tasks of a step have one estimate
     */
    public void add(long estimatedMilliseconds, long milliseconds, double share) {
        if (estimatedMilliseconds <= 0 || milliseconds <= 0) {
            return;
        }
        double estimate = Math.log((double) estimatedMilliseconds);
        double duration = Math.log((double) milliseconds);
        double kept = Math.exp(-share / MEMORY_STEPS);
        weight = weight * kept + share;
        estimates = estimates * kept + share * estimate;
        durations = durations * kept + share * duration;
        estimatesSquared = estimatesSquared * kept + share * estimate * estimate;
        products = products * kept + share * estimate * duration;
        durationsSquared = durationsSquared * kept + share * duration * duration;
        fit();
    }

    private void fit() {
        meanEstimate = estimates / weight;
        double bias = (durations - estimates) / (weight + INITIAL_STEPS);
        meanDuration = meanEstimate + bias;
        double estimateVariation = Math.max(0, estimatesSquared - weight * meanEstimate * meanEstimate);
        double observedMean = durations / weight;
        double covariation = products - weight * meanEstimate * observedMean;
        double durationVariation = Math.max(0, durationsSquared - weight * observedMean * observedMean);
        double initialVariation = INITIAL_STEPS * INITIAL_SPREAD;
        slope = Math.max(0, Math.min(1, (covariation + initialVariation) / (estimateVariation + initialVariation)));
        double residual = Math.max(0, durationVariation - 2 * slope * covariation + slope * slope * estimateVariation);
        deviation = Math.sqrt(
                (residual + INITIAL_STEPS * INITIAL_DEVIATION * INITIAL_DEVIATION) / (weight + INITIAL_STEPS));
    }

    /** Returns the duration that half of the tasks with an estimate exceed, in milliseconds; 0 without an estimate. */
    public double medianMilliseconds(long estimatedMilliseconds) {
        return estimatedMilliseconds <= 0
                ? 0
                : Math.exp(meanDuration + slope * (Math.log((double) estimatedMilliseconds) - meanEstimate));
    }

    /**
     * Returns the duration that only few tasks with an estimate exceed, in milliseconds.
     *
     * @param deviations how many standard deviations it is above the median
     */
    public double highMilliseconds(long estimatedMilliseconds, double deviations) {
        return medianMilliseconds(estimatedMilliseconds) * Math.exp(deviations * deviation);
    }

    /** Returns the standard deviation of the logarithm of a duration with a known estimate. */
    public double deviation() {
        return deviation;
    }
}
