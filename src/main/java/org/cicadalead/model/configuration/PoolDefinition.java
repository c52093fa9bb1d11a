package org.cicadalead.model.configuration;

import java.util.List;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;

/**
 * A pool of hosts as declared in the configuration. A declaration only determines a host's initial pool; its current
 * pool is in the shared state. Immutable.
 *
 * @param name the pool's name
 * @param spare whether its hosts are spare capacity for the other pools
 * @param hosts the hosts whose initial pool it is
 * @param place where it is defined
 */
public record PoolDefinition(PoolName name, boolean spare, List<HostReference> hosts, SourcePlace place) {
    /** Copies the list. */
    public PoolDefinition {
        hosts = List.copyOf(hosts);
    }

    /**
     * A reference to a host by name. Immutable.
     *
     * @param host the host
     * @param place location of the reference
     */
    public record HostReference(HostName host, SourcePlace place) {}
}
