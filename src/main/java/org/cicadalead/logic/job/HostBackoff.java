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
 * @param notices when each host's newest failure was noticed
 */
public record HostBackoff(TreePMap<HostName, Notice> notices) {
    /** Delay after the first failure. */
    public static final Duration FIRST_DELAY = Duration.ofSeconds(1);

    /** Longest delay, after which a host that fails everything is probed with one job. */
    public static final Duration LONGEST_DELAY = Duration.ofMinutes(5);

    private static final int LARGEST_EXPONENT = 20;

    /** Returns the state before any failure. */
    public static HostBackoff empty() {
        return new HostBackoff(TreePMap.empty());
    }

    /** Takes new failures and successes from the ledger. */
    public HostBackoff observe(JobLedger jobs, long nowNanoseconds) {
        TreePMap<HostName, Notice> changed = notices;
        for (HostName host : notices.keySet()) {
            changed = jobs.host(host).consecutiveFailures() == 0 ? changed.minus(host) : changed;
        }
        for (var entry : jobs.hosts().entrySet()) {
            changed = noticed(changed, entry.getKey(), entry.getValue(), nowNanoseconds);
        }
        return new HostBackoff(changed);
    }

    /** Tells whether new work may be placed on a host now. */
    public boolean allows(HostName host, long nowNanoseconds) {
        Notice notice = notices.get(host);
        return notice == null
                || nowNanoseconds - notice.noticedAt() >= notice.delay().toNanos();
    }

    private static TreePMap<HostName, Notice> noticed(
            TreePMap<HostName, Notice> known, HostName host, JobHostState state, long nowNanoseconds) {
        Notice old = known.get(host);
        boolean isNew = state.consecutiveFailures() > 0 && (old == null || old.failure() != state.lastFailure());
        return isNew
                ? known.plus(host, new Notice(state.lastFailure(), state.consecutiveFailures(), nowNanoseconds))
                : known;
    }

    /**
     * The newest failure of a host.
     *
     * @param failure its offset
     * @param consecutiveFailures failures in a row
     * @param noticedAt monotonic time in nanoseconds when it was seen
     */
    public record Notice(long failure, int consecutiveFailures, long noticedAt) {
        Duration delay() {
            int exponent = Math.min(LARGEST_EXPONENT, consecutiveFailures - 1);
            Duration delay = FIRST_DELAY.multipliedBy(1L << exponent);
            return delay.compareTo(LONGEST_DELAY) > 0 ? LONGEST_DELAY : delay;
        }
    }
}
