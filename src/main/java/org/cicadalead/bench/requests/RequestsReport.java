package org.cicadalead.bench.requests;

import java.time.Duration;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * What the bench measured. Immutable.
 *
 * @param loopback the request path against the direct way
 * @param today cost of decisions at today's size
 * @param target cost of decisions at the target's size
 * @param limits ways to keep workers' limits, in virtual time
 */
public record RequestsReport(Loopback loopback, Decisions today, Decisions target, List<LimitResult> limits) {
    /** Copies the list. */
    public RequestsReport {
        limits = List.copyOf(limits);
    }

    /**
     * The request path against the direct way in the same run. Immutable.
     *
     * @param directPerSecond requests a second straight to the workers
     * @param throughPerSecond requests a second through an entry process
     * @param throughputRatio the second by the first
     * @param addedMedianMicroseconds median of the way through less that of the direct way
     * @param addedNinetyNinthMicroseconds the same at the 99th percentile
     */
    public record Loopback(
            long directPerSecond,
            long throughPerSecond,
            double throughputRatio,
            long addedMedianMicroseconds,
            long addedNinetyNinthMicroseconds) {
        static Loopback of(Histogram direct, Histogram through, Duration time) {
            long seconds = Math.max(1, time.toSeconds());
            return new Loopback(
                    direct.getTotalCount() / seconds,
                    through.getTotalCount() / seconds,
                    (double) through.getTotalCount() / direct.getTotalCount(),
                    through.getValueAtPercentile(50) - direct.getValueAtPercentile(50),
                    through.getValueAtPercentile(99) - direct.getValueAtPercentile(99));
        }
    }

    /**
     * Cost of decisions at one size. Immutable.
     *
     * @param size name of the size
     * @param hosts workers
     * @param pools pools
     * @param nanosecondsPerDecision look-up, choice of a worker and its slot
     * @param microsecondsPerIndex making the routing index anew after a change of the shared state
     */
    public record Decisions(
            String size, int hosts, int pools, long nanosecondsPerDecision, long microsecondsPerIndex) {}
}
