package org.cicadalead.logic.work;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cicadalead.model.work.HostClaim;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.LeaderRecord;

/**
 * Which hosts an earlier term may still use, until when, and for which jobs. A term that resigned renews nothing and
 * starts nothing any more; one that fell silent may do both for its unconfirmed time, but not on hosts that did not
 * answer it.
 *
 * @param services services by identifier of the hosts
 * @param leaseExpiresAfter milliseconds after the start of the new term when the lease of a host has expired for certain
 * @param startedJobs jobs of which an earlier term may have started something; empty where that is not known
 */
public record EarlierHosts(
        Map<String, String> services, Map<String, Long> leaseExpiresAfter, Optional<Set<String>> startedJobs) {
    /** Nothing ran before. */
    public static final EarlierHosts NONE = new EarlierHosts(Map.of(), Map.of(), Optional.of(Set.of()));

    /** Copies the collections. */
    public EarlierHosts {
        services = Map.copyOf(services);
        leaseExpiresAfter = Map.copyOf(leaseExpiresAfter);
        startedJobs = startedJobs.map(Set::copyOf);
    }

    /** Tells whether an earlier term may have started something of a job. */
    boolean mayHaveStarted(String job) {
        return startedJobs.map(jobs -> jobs.contains(job)).orElse(true);
    }

    /** Returns the hosts that the last record of the earlier term and the registry name. */
    public static EarlierHosts from(LeaderRecord earlier, Collection<HostEntry> registry, SchedulingTerms terms) {
        Map<String, String> services = new HashMap<>();
        Map<String, Long> goneAfter = new HashMap<>();
        if (!earlier.resigned()) {
            for (HostEntry entry : registry) {
                services.put(entry.identifier(), entry.service());
                goneAfter.put(entry.identifier(), terms.earlierLeaseExpiryMilliseconds());
            }
        }
        for (Map.Entry<String, HostClaim> claim : earlier.hosts().entrySet()) {
            boolean renewed = claim.getValue().answering() && !earlier.resigned();
            services.put(claim.getKey(), claim.getValue().service());
            goneAfter.put(
                    claim.getKey(),
                    renewed
                            ? terms.earlierLeaseExpiryMilliseconds()
                            : claim.getValue().remainingLease());
        }
        return new EarlierHosts(services, goneAfter, earlier.startedJobs());
    }
}
