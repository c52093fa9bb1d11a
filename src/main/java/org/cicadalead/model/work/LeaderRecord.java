package org.cicadalead.model.work;

import java.util.Map;

/**
 * What the scheduling process says of itself in the store. Immutable.
 *
 * @param epoch number of its term; every term has a higher one, and all orders carry it
 * @param process name of the process, with a part that differs after a restart
 * @param address where its peers reach it
 * @param resigned whether it has ended its term by itself
 * @param hosts hosts that may run something, by identifier
 */
public record LeaderRecord(long epoch, String process, String address, boolean resigned, Map<String, HostClaim> hosts) {
    /** Copies the map. */
    public LeaderRecord {
        hosts = Map.copyOf(hosts);
    }
}
