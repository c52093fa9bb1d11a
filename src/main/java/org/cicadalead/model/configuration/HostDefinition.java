package org.cicadalead.model.configuration;

import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.RackName;
import org.cicadalead.model.identity.ZoneName;

/**
 * A host, as declared. Immutable.
 *
 * @param name the host's name
 * @param zone the availability zone it stands in
 * @param rack the rack it stands in
 * @param address where its worker takes requests
 * @param slots requests that its worker runs at once, over all entry processes
 * @param connections connections that its worker takes at once, over all entry processes
 * @param processors processor cores
 * @param memoryGigabytes memory in gigabytes
 * @param accelerators accelerators
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
    /** Slots of a host whose file names none. */
    public static final int DEFAULT_SLOTS = 8;

    /** Connections of a host whose file names none. */
    public static final int DEFAULT_CONNECTIONS = 64;

    /** Returns this host at another address. */
    public HostDefinition withAddress(NetworkAddress newAddress) {
        return new HostDefinition(
                name, zone, rack, newAddress, slots, connections, processors, memoryGigabytes, accelerators, place);
    }
}
