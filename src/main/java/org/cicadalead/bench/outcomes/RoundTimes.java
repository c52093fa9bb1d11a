package org.cicadalead.bench.outcomes;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;

/** Time and allocated memory of planning rounds. For use by one thread. */
final class RoundTimes {
    private static final int DIGITS = 3;
    private static final double MEDIAN = 50;
    private static final double NEARLY_ALL = 99;
    private static final double NANOSECONDS_PER_MICROSECOND = 1_000;

    private static final double BYTES_PER_KILOBYTE = 1_024;

    private final Histogram histogram = new Histogram(DIGITS);
    private final Histogram allocations = new Histogram(DIGITS);

    /** Runs a round and notes what it took. */
    <T> T measure(Supplier<T> round) {
        long allocated = allocatedBytes();
        long started = System.nanoTime();
        T result = round.get();
        histogram.recordValue(System.nanoTime() - started);
        allocations.recordValue(Math.max(0, allocatedBytes() - allocated));
        return result;
    }

    double medianKilobytes() {
        return allocations.getValueAtPercentile(MEDIAN) / BYTES_PER_KILOBYTE;
    }

    private static long allocatedBytes() {
        ThreadMXBean threads = ManagementFactory.getPlatformMXBean(ThreadMXBean.class);
        return threads.getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    double medianMicroseconds() {
        return histogram.getValueAtPercentile(MEDIAN) / NANOSECONDS_PER_MICROSECOND;
    }

    double nearlyAllMicroseconds() {
        return histogram.getValueAtPercentile(NEARLY_ALL) / NANOSECONDS_PER_MICROSECOND;
    }
}
