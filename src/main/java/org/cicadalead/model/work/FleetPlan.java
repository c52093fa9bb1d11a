package org.cicadalead.model.work;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One version of the operator's configuration. Immutable.
 *
 * @param version number of the version; higher ones replace lower ones
 * @param queuesByAuthority queues by host name of the request, longest path prefix first
 * @param services names of all services
 * @param standbyServices services whose hosts are switched off and cost nothing
 * @param maximumBodyBytes maximum size of a request body
 * @param accounts the client accounts; empty where the configuration names none, so that no request needs a key
 */
public record FleetPlan(
        long version,
        Map<String, List<WorkQueue>> queuesByAuthority,
        Set<String> services,
        Set<String> standbyServices,
        long maximumBodyBytes,
        Optional<ClientAccounts> accounts) {
    private static final Comparator<WorkQueue> LONGEST_PREFIX_FIRST =
            Comparator.comparingInt((WorkQueue queue) -> -queue.pathPrefix().length());

    /** Copies the collections. */
    public FleetPlan {
        queuesByAuthority = Map.copyOf(queuesByAuthority);
        services = Set.copyOf(services);
        standbyServices = Set.copyOf(standbyServices);
    }

    /** Creates a configuration without client accounts. */
    public FleetPlan(
            long version,
            Map<String, List<WorkQueue>> queuesByAuthority,
            Set<String> services,
            Set<String> standbyServices,
            long maximumBodyBytes) {
        this(version, queuesByAuthority, services, standbyServices, maximumBodyBytes, Optional.empty());
    }

    /** Returns the names of all services, also of those that only a queue names. */
    public Set<String> namedServices() {
        Set<String> names = new HashSet<>(services);
        queuesByAuthority.values().forEach(queues -> queues.forEach(queue -> names.add(queue.service())));
        return names;
    }

    /** Sorts queues by path prefix, longest first, which is the order in which they are matched. */
    public static List<WorkQueue> sortByPrefix(List<WorkQueue> queues) {
        return queues.stream().sorted(LONGEST_PREFIX_FIRST).toList();
    }

    /** Finds the queue of a request by its host name and path. */
    public Optional<WorkQueue> findQueue(String authority, String path) {
        return queuesByAuthority.getOrDefault(authority, List.of()).stream()
                .filter(queue -> path.startsWith(queue.pathPrefix()))
                .findFirst();
    }
}
