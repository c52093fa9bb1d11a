package org.cicadalead.bench.outcomes;

import org.HdrHistogram.Histogram;

/** Processor time of planning rounds. For use by one thread. */
final class RoundTimes {
    private static final int DIGITS = 3;
    private static final double MEDIAN = 50;
    private static final double NEARLY_ALL = 99;
    private static final double NANOSECONDS_PER_MICROSECOND = 1_000;

    private final Histogram histogram = new Histogram(DIGITS);

    void add(long nanoseconds) {
        histogram.recordValue(nanoseconds);
    }

    double medianMicroseconds() {
        return histogram.getValueAtPercentile(MEDIAN) / NANOSECONDS_PER_MICROSECOND;
    }

    double nearlyAllMicroseconds() {
        return histogram.getValueAtPercentile(NEARLY_ALL) / NANOSECONDS_PER_MICROSECOND;
    }
}
