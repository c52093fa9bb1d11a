package org.cicadalead.logic.work;

import java.util.HashSet;
import java.util.Set;

/**
 * The services that are named by configurations or by accepted jobs. An entry of the registry that names any other
 * service is that of another writer. A name stays, as hosts of a service may outlive its configuration, and the
 * configuration that is known may be older than that of an earlier leader. Not thread-safe.
 */
final class ServiceNames {
    private final Set<String> names = new HashSet<>();
    private boolean isConfigured;

    /** Adds the names of a configuration. */
    void addConfigured(Set<String> services) {
        isConfigured = true;
        names.addAll(services);
    }

    /** Adds the service of an accepted job. */
    void addUsed(String service) {
        names.add(service);
    }

    /** Returns whether a service is named; every service is while no configuration is known. */
    boolean isNamed(String service) {
        return !isConfigured || names.contains(service);
    }
}
