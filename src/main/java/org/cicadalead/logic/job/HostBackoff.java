package org.cicadalead.logic.job;

import java.time.Duration;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.job.JobHostState;
import org.cicadalead.model.job.JobLedger;
import org.pcollections.TreePMap;

/**
 * Keeps new work away from hosts for a time after a failure there. The failures are the shared state's; the time runs
 * on this process's monotonic clock from the moment when it saw the failure, so a process that starts is more careful,
 * not less. Immutable.
 *
 * @param failures when each host's newest failure was noticed
 */
public record HostBackoff(TreePMap<HostName, ObservedFailure> failures) {
    /** Delay after the first failure. */
    public static final Duration FIRST_DELAY = Duration.ofSeconds(1);

    /** Longest delay, after which a host that fails everything is probed with one job. */
    public static final Duration MAX_DELAY = Duration.ofMinutes(5);

    private static final int MAX_EXPONENT = 20;

    /** Returns the state before any failure. */
    public static HostBackoff empty() {
        return new HostBackoff(TreePMap.empty());
    }

    /** Takes new failures and successes from the ledger. */
    public HostBackoff observe(JobLedger jobs, long nowNanoseconds) {
        TreePMap<HostName, ObservedFailure> changed = failures;
        for (HostName host : failures.keySet()) {
            changed = jobs.host(host).consecutiveFailures() == 0 ? changed.minus(host) : changed;
        }
        for (var entry : jobs.hosts().entrySet()) {
            changed = recordIfNew(changed, entry.getKey(), entry.getValue(), nowNanoseconds);
        }
        return new HostBackoff(changed);
    }

    /** Tells whether new work may be placed on a host now. */
    public boolean allowsPlacement(HostName host, long nowNanoseconds) {
        ObservedFailure notice = failures.get(host);
        return notice == null
                || nowNanoseconds - notice.observedAtNanoseconds()
                        >= notice.delay().toNanos();
    }

    private static TreePMap<HostName, ObservedFailure> recordIfNew(
            TreePMap<HostName, ObservedFailure> known, HostName host, JobHostState state, long nowNanoseconds) {
        ObservedFailure old = known.get(host);
        boolean isNew = state.consecutiveFailures() > 0 && (old == null || old.offset() != state.lastFailure());
        return isNew
                ? known.plus(
                        host, new ObservedFailure(state.lastFailure(), state.consecutiveFailures(), nowNanoseconds))
                : known;
    }

    /**
     * The newest failure of a host.
     *
     * @param offset its offset
     * @param consecutiveFailures failures in a row
     * @param observedAtNanoseconds monotonic time in nanoseconds when it was seen
     */
    public record ObservedFailure(long offset, int consecutiveFailures, long observedAtNanoseconds) {
        Duration delay() {
            int exponent = Math.min(MAX_EXPONENT, consecutiveFailures - 1);
            Duration delay = FIRST_DELAY.multipliedBy(1L << exponent);
            return delay.compareTo(MAX_DELAY) > 0 ? MAX_DELAY : delay;
        }
    }
}
