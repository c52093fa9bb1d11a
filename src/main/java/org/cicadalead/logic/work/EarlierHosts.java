package org.cicadalead.logic.work;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cicadalead.model.work.HostCapacity;
import org.cicadalead.model.work.HostClaim;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.LeaderRecord;

/**
 * Hosts that may still have runs of an earlier term, until when, and for which jobs. A leader that has resigned renews
 * no leases and starts nothing any more. A leader that became unreachable may do both until its time limits without a
 * confirmed heartbeat, but not on hosts that did not reply to it. Immutable.
 *
 * @param services services by identifier of the host; of a claimed host the one that its claim names
 * @param leaseExpiresAfter milliseconds after the new term begins to schedule until the lease has expired for certain,
 *     by identifier of the host
 * @param machines names of the machines that the hosts run on, by identifier of the host, where they are known
 * @param startedJobs jobs of which an earlier term may have started tasks; empty when they are unknown
 * @param accountAllowances capacity that the runs of each account take together at most; empty when it is unknown
 * @param claimedHosts the hosts that the last record of the earlier term names, so that they lived together
 * @param otherServices further services of whose jobs a host may have runs, by identifier of the host, for those that
 *     have changed their service around the last record of the earlier term
 */
public record EarlierHosts(
        Map<String, String> services,
        Map<String, Long> leaseExpiresAfter,
        Map<String, String> machines,
        Optional<Set<String>> startedJobs,
        Optional<Map<String, HostCapacity>> accountAllowances,
        Set<String> claimedHosts,
        Map<String, Set<String>> otherServices) {
    /** No host has runs of an earlier term. */
    public static final EarlierHosts NONE =
            new EarlierHosts(Map.of(), Map.of(), Map.of(), Optional.of(Set.of()), Optional.of(Map.of()));

    /** Copies the collections. */
    public EarlierHosts {
        services = Map.copyOf(services);
        leaseExpiresAfter = Map.copyOf(leaseExpiresAfter);
        machines = Map.copyOf(machines);
        startedJobs = startedJobs.map(Set::copyOf);
        accountAllowances = accountAllowances.map(Map::copyOf);
        claimedHosts = Set.copyOf(claimedHosts);
        otherServices = Map.copyOf(otherServices);
    }

    /** Creates the value for hosts that the last record of the earlier term names. */
    public EarlierHosts(
            Map<String, String> services,
            Map<String, Long> leaseExpiresAfter,
            Map<String, String> machines,
            Optional<Set<String>> startedJobs,
            Optional<Map<String, HostCapacity>> accountAllowances) {
        this(services, leaseExpiresAfter, machines, startedJobs, accountAllowances, services.keySet(), Map.of());
    }

    /** Creates the value for an earlier term whose allowances of accounts are unknown. */
    public EarlierHosts(
            Map<String, String> services,
            Map<String, Long> leaseExpiresAfter,
            Map<String, String> machines,
            Optional<Set<String>> startedJobs) {
        this(services, leaseExpiresAfter, machines, startedJobs, Optional.empty());
    }

    /** Returns whether an earlier term may have started tasks of a job. */
    boolean mayHaveStarted(String job) {
        return startedJobs.map(jobs -> jobs.contains(job)).orElse(true);
    }

    /**
     * Creates the value from the last record of the earlier term and the host registry.
     *
     * @param now monotonic time in milliseconds at which the new term begins to schedule
     */
    public static EarlierHosts from(
            EarlierTerm earlier, Collection<HostEntry> registry, SchedulingTerms terms, long now) {
        LeaderRecord lastRecord = earlier.lastRecord();
        Map<String, String> services = new HashMap<>();
        Map<String, Long> leaseExpiresAfter = new HashMap<>();
        Map<String, String> machines = new HashMap<>();
        Map<String, Set<String>> otherServices = new HashMap<>();
        long maximumLease = earlier.remainingMaximumLease(terms, now);
        if (maximumLease > 0) {
            for (HostEntry entry : registry) {
                services.put(entry.identifier(), entry.service());
                leaseExpiresAfter.put(entry.identifier(), maximumLease);
            }
        }
        for (Map.Entry<String, HostClaim> claim : lastRecord.hosts().entrySet()) {
            Set<String> others = new HashSet<>(claim.getValue().otherServices());
            // The host may have changed its service, and have got work in the new one, after the record was created.
            Optional.ofNullable(services.put(claim.getKey(), claim.getValue().service()))
                    .ifPresent(others::add);
            others.remove(claim.getValue().service());
            if (!others.isEmpty()) {
                otherServices.put(claim.getKey(), Set.copyOf(others));
            }
            leaseExpiresAfter.put(claim.getKey(), earlier.remainingLease(claim.getValue(), terms, now));
            claim.getValue().machine().ifPresent(machine -> machines.put(claim.getKey(), machine));
        }
        return new EarlierHosts(
                services,
                leaseExpiresAfter,
                machines,
                lastRecord.startedJobs(),
                lastRecord.accountAllowances(),
                lastRecord.hosts().keySet(),
                otherServices);
    }
}
