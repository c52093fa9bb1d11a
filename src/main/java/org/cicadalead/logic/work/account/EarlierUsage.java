package org.cicadalead.logic.work.account;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cicadalead.model.work.HostCapacity;

/**
 * Bounds what an earlier term may still run for each account on hosts that have not replied in this term: the allowance
 * of its last record, less the runs that its other hosts listed as active at their first reply. Load pattern: a leader
 * is lost or cut off together with some hosts, while accounts run up to their limits. Not thread-safe.
 */
public final class EarlierUsage {
    private final Optional<Map<String, HostCapacity>> allowances;
    private final Map<String, Map<String, HostCapacity>> listedByHost = new HashMap<>();
    private final Map<String, HostCapacity> listed = new HashMap<>();
    private boolean resolved;

    /**
     * Creates the bounds for a new term.
     *
     * @param allowances allowances by account in the last record of the earlier term; empty when they are unknown
     * @param resolved whether no host can have runs of an earlier term
     */
    public EarlierUsage(Optional<Map<String, HostCapacity>> allowances, boolean resolved) {
        this.allowances = allowances.map(Map::copyOf);
        this.resolved = resolved;
    }

    /** Records an active run in the first reply of a host that an earlier term may have used. */
    public void addListed(String host, String account, HostCapacity capacity) {
        listedByHost.computeIfAbsent(host, key -> new HashMap<>()).merge(account, capacity, HostCapacity::plus);
        listed.merge(account, capacity, HostCapacity::plus);
    }

    /**
     * Takes back what a host has listed, as its process has ended while the earlier term may still give orders: the
     * earlier term may know of that end, and use the room elsewhere.
     */
    public void onListedHostEnded(String host) {
        Map<String, HostCapacity> ended = listedByHost.remove(host);
        if (ended != null) {
            ended.forEach((account, capacity) -> listed.merge(account, capacity, HostCapacity::minus));
        }
    }

    /** Records that no host can have runs of an earlier term any more that it has not listed. */
    public void onResolved() {
        resolved = true;
        listedByHost.clear();
        listed.clear();
    }

    /** Returns the accounts for which the earlier term has announced an allowance. */
    Set<String> accounts() {
        return allowances.map(Map::keySet).orElse(Set.of());
    }

    /** Returns whether the allowances of the earlier term are unknown while they matter. */
    boolean isUnknown() {
        return !resolved && allowances.isEmpty();
    }

    /**
     * Returns the capacity that runs of an account may take at most on hosts that have not replied.
     *
     * @param limit limit of the account, which counts where the allowances are unknown
     */
    HostCapacity bound(String account, HostCapacity limit) {
        if (resolved) {
            return HostCapacity.NONE;
        }
        HostCapacity allowance = allowances
                .map(known -> known.getOrDefault(account, HostCapacity.NONE))
                .orElse(limit);
        return allowance.minus(listed.getOrDefault(account, HostCapacity.NONE)).highest(HostCapacity.NONE);
    }
}
