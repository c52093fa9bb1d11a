package org.cicadalead.logic.work;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cicadalead.model.work.HostClaim;
import org.cicadalead.model.work.LeaderRecord;

/**
 * What a term tells its successor of the hosts that may run something, and of the jobs that it may have started there.
 * Immutable.
 *
 * @param generation number that rises with each statement of a term
 * @param claims hosts by identifier
 * @param startedJobs jobs that have not ended and of which something may run; empty where that is not known
 */
public record HostsInUse(long generation, Map<String, HostClaim> claims, Optional<Set<String>> startedJobs) {
    /** No host is in use. */
    public static final HostsInUse NONE = new HostsInUse(0, Map.of(), Optional.of(Set.of()));

    /**
     * Returns what a new term says before it has looked at any host: whatever the earlier term said, each host may be
     * used again.
     */
    public static HostsInUse fromEarlierTerm(Optional<LeaderRecord> before) {
        Map<String, HostClaim> claims = new HashMap<>();
        before.map(LeaderRecord::hosts)
                .orElse(Map.of())
                .forEach((host, claim) ->
                        claims.put(host, new HostClaim(claim.service(), true, claim.remainingLease())));
        return new HostsInUse(0, claims, before.map(LeaderRecord::startedJobs).orElse(Optional.of(Set.of())));
    }

    /** Copies the collections. */
    public HostsInUse {
        claims = Map.copyOf(claims);
        startedJobs = startedJobs.map(Set::copyOf);
    }
}
