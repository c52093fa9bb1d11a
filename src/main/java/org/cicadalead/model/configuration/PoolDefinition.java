package org.cicadalead.model.configuration;

import java.util.List;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;

/**
 * A pool of hosts, as declared. The declared hosts are where a host starts; the pool that a host is in now is the
 * shared state's. Immutable.
 *
 * @param name the pool's name
 * @param spare whether its hosts stand by for the other pools
 * @param hosts the hosts that start in it
 * @param place where it is defined
 */
public record PoolDefinition(PoolName name, boolean spare, List<HostReference> hosts, SourcePlace place) {
    /** Copies the list. */
    public PoolDefinition {
        hosts = List.copyOf(hosts);
    }

    /**
     * A line that names a host. Immutable.
     *
     * @param host the host
     * @param place where the line stands
     */
    public record HostReference(HostName host, SourcePlace place) {}
}
