package org.cicadalead.model.work;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Record of the leader in the store, by which it announces its term. Immutable.
 *
 * @param epoch number of its term, used as the fencing token of all orders; every term has a higher one
 * @param process name of the process, with a part that differs after a restart
 * @param address address at which its peers reach it
 * @param resigned whether it has ended its term voluntarily
 * @param hosts claims on hosts that may have runs, by identifier of the host
 * @param startedJobs jobs that have not ended and of which tasks may run; empty when they are unknown
 * @param leasesExpireAfter milliseconds after this record is stored by which every lease has expired for certain that
 *     this term or an earlier one gives to hosts that reply or are not claimed, if no later record follows; empty when
 *     that is unknown, as in records of versions that did not announce it
 * @param accountAllowances capacity that the runs of each client account take together at most while this record is the
 *     newest one, by name of the account; empty when it is unknown, as in records of versions that did not announce it
 */
public record LeaderRecord(
        long epoch,
        String process,
        String address,
        boolean resigned,
        Map<String, HostClaim> hosts,
        Optional<Set<String>> startedJobs,
        Optional<Long> leasesExpireAfter,
        Optional<Map<String, HostCapacity>> accountAllowances) {
    /** Copies the collections; throws if a part is missing. */
    public LeaderRecord {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(address, "address");
        hosts = Map.copyOf(hosts);
        startedJobs = startedJobs.map(Set::copyOf);
        accountAllowances = accountAllowances.map(Map::copyOf);
    }

    /** Creates a record whose allowances of accounts are unknown. */
    public LeaderRecord(
            long epoch,
            String process,
            String address,
            boolean resigned,
            Map<String, HostClaim> hosts,
            Optional<Set<String>> startedJobs,
            Optional<Long> leasesExpireAfter) {
        this(epoch, process, address, resigned, hosts, startedJobs, leasesExpireAfter, Optional.empty());
    }
}
