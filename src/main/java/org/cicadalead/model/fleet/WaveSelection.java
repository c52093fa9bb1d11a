package org.cicadalead.model.fleet;

import java.util.List;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.RackName;
import org.cicadalead.model.identity.ZoneName;

/**
 * Selection of the hosts of a maintenance wave: a host is selected if it matches every list that is not empty.
 * Immutable.
 *
 * @param pools pools; empty for all
 * @param racks racks; empty for all
 * @param zones availability zones; empty for all
 * @param hosts hosts by name; empty for all
 */
public record WaveSelection(List<PoolName> pools, List<RackName> racks, List<ZoneName> zones, List<HostName> hosts) {
    /** Copies the lists. */
    public WaveSelection {
        pools = List.copyOf(pools);
        racks = List.copyOf(racks);
        zones = List.copyOf(zones);
        hosts = List.copyOf(hosts);
    }

    /** Selects the whole fleet. */
    public static WaveSelection ofWholeFleet() {
        return new WaveSelection(List.of(), List.of(), List.of(), List.of());
    }

    /** Selects one host. */
    public static WaveSelection of(HostName host) {
        return new WaveSelection(List.of(), List.of(), List.of(), List.of(host));
    }

    /** Tells whether a host is selected. */
    public boolean selects(HostState host, HostDefinition definition) {
        return matches(pools, host.pool())
                && matches(racks, definition.rack())
                && matches(zones, definition.zone())
                && matches(hosts, host.name());
    }

    private static <T> boolean matches(List<T> allowed, T value) {
        return allowed.isEmpty() || allowed.contains(value);
    }
}
