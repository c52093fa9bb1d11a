package org.cicadalead.logic.work;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cicadalead.model.work.HostCapacity;
import org.cicadalead.model.work.HostClaim;
import org.cicadalead.model.work.LeaderRecord;

/**
 * Announcement of a term to its successor: the hosts that may have runs, and the jobs that it may have started.
 * Immutable.
 *
 * @param generation number that rises with each announcement of a term; 0 until the term has begun to schedule
 * @param claims claims by identifier of the host
 * @param startedJobs jobs that have not ended and of which tasks may run; empty when they are unknown
 * @param leasesExpireAfter milliseconds by which leases of hosts that reply or are not claimed have expired for
 *     certain, as in {@link LeaderRecord#leasesExpireAfter}
 * @param accountAllowances capacity that the runs of each account take together at most, as in
 *     {@link LeaderRecord#accountAllowances}
 */
public record HostsInUse(
        long generation,
        Map<String, HostClaim> claims,
        Optional<Set<String>> startedJobs,
        Optional<Long> leasesExpireAfter,
        Optional<Map<String, HostCapacity>> accountAllowances) {
    /** No host is in use. */
    public static final HostsInUse NONE =
            new HostsInUse(0, Map.of(), Optional.of(Set.of()), Optional.of(0L), Optional.of(Map.of()));

    /** Copies the collections. */
    public HostsInUse {
        claims = Map.copyOf(claims);
        startedJobs = startedJobs.map(Set::copyOf);
        accountAllowances = accountAllowances.map(Map::copyOf);
    }

    /** Creates an announcement whose allowances of accounts are unknown. */
    public HostsInUse(
            long generation,
            Map<String, HostClaim> claims,
            Optional<Set<String>> startedJobs,
            Optional<Long> leasesExpireAfter) {
        this(generation, claims, startedJobs, leasesExpireAfter, Optional.empty());
    }

    /**
     * Creates the announcement of a term that has not begun to schedule. Such a term gives no lease, as a scheduler
     * gives none before its own announcement is stored; so the bounds of the earlier term hold, less the time that has
     * passed since its last record.
     *
     * @param now monotonic time in milliseconds, not later than the announcement is sent
     */
    public static HostsInUse fromEarlierTerm(Optional<EarlierTerm> earlier, long now) {
        if (earlier.isEmpty()) {
            return NONE;
        }
        LeaderRecord lastRecord = earlier.get().lastRecord();
        long passed = Math.max(0, now - earlier.get().observedAt());
        Map<String, HostClaim> claims = new HashMap<>();
        lastRecord
                .hosts()
                .forEach((host, claim) -> claims.put(
                        host,
                        new HostClaim(
                                claim.service(),
                                claim.answering() && !lastRecord.resigned(),
                                Math.max(0, claim.remainingLease() - passed),
                                claim.machine(),
                                claim.otherServices())));
        Optional<Long> leasesExpireAfter = lastRecord.resigned()
                ? Optional.of(lastRecord.leasesExpireAfter().orElse(0L))
                : lastRecord.leasesExpireAfter();
        return new HostsInUse(
                0,
                claims,
                lastRecord.startedJobs(),
                leasesExpireAfter.map(milliseconds -> Math.max(0, milliseconds - passed)),
                lastRecord.accountAllowances());
    }

    /** Returns the announcement of a term that has ended, and so renews no lease any more. */
    public HostsInUse afterResignation() {
        return new HostsInUse(generation, claims, startedJobs, Optional.of(0L), accountAllowances);
    }
}
