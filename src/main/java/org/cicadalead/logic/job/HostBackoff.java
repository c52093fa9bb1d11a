package org.cicadalead.logic.job;

import java.time.Duration;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.job.JobHostState;
import org.cicadalead.model.job.JobLedger;
import org.pcollections.TreePMap;

/**
 * Delays new placements on a host after a job failed there, with exponential backoff. The failures come from the shared
 * state; the delay is measured with this process's monotonic clock from the time when the process observed the failure.
 * A process that has just started therefore waits longer than necessary rather than less. Immutable.
 *
 * @param failures newest observed failure of each host
 */
public record HostBackoff(TreePMap<HostName, ObservedFailure> failures) {
    /** Delay after the first failure. */
    public static final Duration FIRST_DELAY = Duration.ofSeconds(1);

    /** Maximum delay, after which a host on which every job fails is probed with one job. */
    public static final Duration MAX_DELAY = Duration.ofMinutes(5);

    private static final int MAX_EXPONENT = 20;

    /** Returns a backoff without failures. */
    public static HostBackoff empty() {
        return new HostBackoff(TreePMap.empty());
    }

    /** Returns the backoff after applying the failures and successes that the ledger contains. */
    public HostBackoff observe(JobLedger jobs, long nowNanoseconds) {
        TreePMap<HostName, ObservedFailure> updated = failures;
        for (HostName host : failures.keySet()) {
            updated = jobs.host(host).consecutiveFailures() == 0 ? updated.minus(host) : updated;
        }
        for (var entry : jobs.hosts().entrySet()) {
            updated = recordIfNew(updated, entry.getKey(), entry.getValue(), nowNanoseconds);
        }
        return new HostBackoff(updated);
    }

    /** Returns whether new jobs may be placed on a host now. */
    public boolean allowsPlacement(HostName host, long nowNanoseconds) {
        ObservedFailure failure = failures.get(host);
        return failure == null
                || nowNanoseconds - failure.observedAtNanoseconds()
                        >= failure.delay().toNanos();
    }

    private static TreePMap<HostName, ObservedFailure> recordIfNew(
            TreePMap<HostName, ObservedFailure> failures, HostName host, JobHostState state, long nowNanoseconds) {
        ObservedFailure previous = failures.get(host);
        boolean isNew =
                state.consecutiveFailures() > 0 && (previous == null || previous.offset() != state.lastFailure());
        return isNew
                ? failures.plus(
                        host, new ObservedFailure(state.lastFailure(), state.consecutiveFailures(), nowNanoseconds))
                : failures;
    }

    /**
     * The newest failure of a host.
     *
     * @param offset log offset of the failure
     * @param consecutiveFailures number of consecutive failures of the host
     * @param observedAtNanoseconds monotonic time in nanoseconds at which this process observed the failure
     */
    public record ObservedFailure(long offset, int consecutiveFailures, long observedAtNanoseconds) {
        Duration delay() {
            int exponent = Math.min(MAX_EXPONENT, consecutiveFailures - 1);
            Duration delay = FIRST_DELAY.multipliedBy(1L << exponent);
            return delay.compareTo(MAX_DELAY) > 0 ? MAX_DELAY : delay;
        }
    }
}
