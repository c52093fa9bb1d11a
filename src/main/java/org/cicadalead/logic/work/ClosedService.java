package org.cicadalead.logic.work;

import java.util.Set;

/**
 * A service in which jobs that an earlier term may have started get no new runs. Immutable.
 *
 * @param hosts identifiers of the hosts that may still have runs of an earlier term
 * @param opensAt monotonic time in milliseconds at which the last lease on these hosts has expired for certain
 */
public record ClosedService(Set<String> hosts, long opensAt) {
    /** Copies the set. */
    public ClosedService {
        hosts = Set.copyOf(hosts);
    }
}
