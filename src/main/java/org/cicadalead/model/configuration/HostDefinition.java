package org.cicadalead.model.configuration;

import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.RackName;
import org.cicadalead.model.identity.ZoneName;

/**
 * A host as declared in the configuration. Immutable.
 *
 * @param name the host's name
 * @param zone the host's availability zone
 * @param rack the host's rack
 * @param address address at which the host's worker accepts requests
 * @param slots maximum number of requests that its worker runs concurrently, over all entry processes
 * @param connections maximum number of open connections to its worker, over all entry processes
 * @param processors number of processor cores
 * @param memoryGigabytes memory in gigabytes
 * @param accelerators number of accelerators
 * @param place where it is defined
 */
public record HostDefinition(
        HostName name,
        ZoneName zone,
        RackName rack,
        NetworkAddress address,
        int slots,
        int connections,
        int processors,
        int memoryGigabytes,
        int accelerators,
        SourcePlace place) {
    /** Number of slots of a host whose definition has none. */
    public static final int DEFAULT_SLOTS = 8;

    /** Number of connections of a host whose definition has none. */
    public static final int DEFAULT_CONNECTIONS = 64;

    /** Returns a copy of this host with another address. */
    public HostDefinition withAddress(NetworkAddress newAddress) {
        return new HostDefinition(
                name, zone, rack, newAddress, slots, connections, processors, memoryGigabytes, accelerators, place);
    }
}
