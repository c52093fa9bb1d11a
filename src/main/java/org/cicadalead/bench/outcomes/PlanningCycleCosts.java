package org.cicadalead.bench.outcomes;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;

/** Records the time and the allocated memory of planning cycles. For use by one thread. */
final class PlanningCycleCosts {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double HIGH_PERCENTILE = 99;
    private static final double NANOSECONDS_PER_MICROSECOND = 1_000;

    private static final double BYTES_PER_KILOBYTE = 1_024;

    private final Histogram durations = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram allocations = new Histogram(SIGNIFICANT_DIGITS);

    /** Runs a planning cycle, records its time and allocated memory, and returns its result. */
    <T> T measure(Supplier<T> cycle) {
        long allocatedBefore = allocatedBytes();
        long startNanoseconds = System.nanoTime();
        T result = cycle.get();
        durations.recordValue(System.nanoTime() - startNanoseconds);
        allocations.recordValue(Math.max(0, allocatedBytes() - allocatedBefore));
        return result;
    }

    double medianKilobytes() {
        return allocations.getValueAtPercentile(MEDIAN_PERCENTILE) / BYTES_PER_KILOBYTE;
    }

    private static long allocatedBytes() {
        ThreadMXBean threads = ManagementFactory.getPlatformMXBean(ThreadMXBean.class);
        return threads.getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    double medianMicroseconds() {
        return durations.getValueAtPercentile(MEDIAN_PERCENTILE) / NANOSECONDS_PER_MICROSECOND;
    }

    double ninetyNinthPercentileMicroseconds() {
        return durations.getValueAtPercentile(HIGH_PERCENTILE) / NANOSECONDS_PER_MICROSECOND;
    }
}
