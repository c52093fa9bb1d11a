package org.cicadalead.logic.work;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cicadalead.model.work.HostClaim;
import org.cicadalead.model.work.LeaderRecord;

/**
 * Announcement of a term to its successor: the hosts that may have runs, and the jobs that it may have started.
 * Immutable.
 *
 * @param generation number that rises with each announcement of a term
 * @param claims claims by identifier of the host
 * @param startedJobs jobs that have not ended and of which tasks may run; empty when they are unknown
 */
public record HostsInUse(long generation, Map<String, HostClaim> claims, Optional<Set<String>> startedJobs) {
    /** No host is in use. */
    public static final HostsInUse NONE = new HostsInUse(0, Map.of(), Optional.of(Set.of()));

    /**
     * Creates the announcement of a new term before it has polled any host. Every host counts as replying, whatever the
     * earlier term announced, as the new term may use it again.
     */
    public static HostsInUse fromEarlierTerm(Optional<LeaderRecord> earlier) {
        Map<String, HostClaim> claims = new HashMap<>();
        earlier.map(LeaderRecord::hosts)
                .orElse(Map.of())
                .forEach((host, claim) ->
                        claims.put(host, new HostClaim(claim.service(), true, claim.remainingLease())));
        return new HostsInUse(0, claims, earlier.map(LeaderRecord::startedJobs).orElse(Optional.of(Set.of())));
    }

    /** Copies the collections. */
    public HostsInUse {
        claims = Map.copyOf(claims);
        startedJobs = startedJobs.map(Set::copyOf);
    }
}
