package org.cicadalead.bench.requests;

import java.time.Duration;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * The results of the requests bench. Immutable.
 *
 * @param loopback the request path compared with direct requests to the workers
 * @param today cost of routing decisions at the current size
 * @param target cost of routing decisions at the target size
 * @param limits strategies to keep the slot limits of workers, in virtual time
 */
public record RequestsReport(Loopback loopback, Decisions today, Decisions target, List<LimitResult> limits) {
    /** Copies {@code limits}. */
    public RequestsReport {
        limits = List.copyOf(limits);
    }

    /**
     * The request path compared with direct requests in the same run. Immutable.
     *
     * @param directPerSecond requests per second sent directly to the workers
     * @param throughPerSecond requests per second sent through an entry process
     * @param throughputRatio throughput through an entry process divided by direct throughput
     * @param addedMedianMicroseconds median latency through an entry process minus the direct median latency
     * @param addedNinetyNinthMicroseconds the same difference at the 99th percentile
     */
    public record Loopback(
            long directPerSecond,
            long throughPerSecond,
            double throughputRatio,
            long addedMedianMicroseconds,
            long addedNinetyNinthMicroseconds) {
        static Loopback of(Histogram direct, Histogram through, Duration duration) {
            long seconds = Math.max(1, duration.toSeconds());
            return new Loopback(
                    direct.getTotalCount() / seconds,
                    through.getTotalCount() / seconds,
                    (double) through.getTotalCount() / direct.getTotalCount(),
                    through.getValueAtPercentile(50) - direct.getValueAtPercentile(50),
                    through.getValueAtPercentile(99) - direct.getValueAtPercentile(99));
        }
    }

    /**
     * Cost of routing decisions at one fleet size. Immutable.
     *
     * @param size name of the fleet size
     * @param hosts number of workers
     * @param pools number of pools
     * @param nanosecondsPerDecision time to look up a service, choose a worker and acquire its slot
     * @param microsecondsPerIndex time to rebuild the routing index after a change of the shared state
     */
    public record Decisions(
            String size, int hosts, int pools, long nanosecondsPerDecision, long microsecondsPerIndex) {}
}
