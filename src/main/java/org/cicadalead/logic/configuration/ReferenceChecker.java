package org.cicadalead.logic.configuration;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.cicadalead.model.configuration.ConfigurationProblem;
import org.cicadalead.model.configuration.FleetConfiguration;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.configuration.PoolDefinition;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.configuration.SourcePlace;
import org.cicadalead.model.identity.HostName;

/**
 * Checks that the references of a merged configuration resolve, that addresses of hosts are unique and that every host
 * is in exactly one pool. Not safe for use by several threads.
 */
final class ReferenceChecker {
    private final FleetConfiguration configuration;
    private final Predicate<String> mayBeUnread;
    private final List<ConfigurationProblem> problems;

    ReferenceChecker(
            FleetConfiguration configuration, Predicate<String> mayBeUnread, List<ConfigurationProblem> problems) {
        this.configuration = configuration;
        this.mayBeUnread = mayBeUnread;
        this.problems = problems;
    }

    void check() {
        checkHosts();
        checkPools();
        checkServices();
    }

    private void checkHosts() {
        Map<NetworkAddress, HostDefinition> hostsByAddress = new HashMap<>();
        for (HostDefinition host : configuration.hosts().values()) {
            if (!configuration.zones().containsKey(host.zone())) {
                reportUnresolved(
                        host.place(),
                        "availability zone",
                        host.zone().value(),
                        configuration.zones().keySet());
            }
            HostDefinition earlierHost = hostsByAddress.putIfAbsent(host.address(), host);
            if (earlierHost != null) {
                problems.add(new ConfigurationProblem(
                        host.place(),
                        "the host '" + host.name() + "' has the address " + host.address() + " of the host '"
                                + earlierHost.name() + "' at " + earlierHost.place(),
                        "Give each host an address of its own"));
            }
        }
    }

    private void checkPools() {
        Map<HostName, SourcePlace> firstPlaces = new HashMap<>();
        Set<HostName> pooledHosts = new HashSet<>();
        for (PoolDefinition pool : configuration.pools().values()) {
            for (PoolDefinition.HostReference reference : pool.hosts()) {
                pooledHosts.add(reference.host());
                checkReference(firstPlaces, reference);
            }
        }
        for (HostDefinition host : configuration.hosts().values()) {
            if (!pooledHosts.contains(host.name())
                    && !mayBeUnread.test(host.name().value())) {
                problems.add(new ConfigurationProblem(
                        host.place(),
                        "the host '" + host.name() + "' is in no pool",
                        "Add it to the hosts of one pool"));
            }
        }
    }

    private void checkReference(Map<HostName, SourcePlace> firstPlaces, PoolDefinition.HostReference reference) {
        if (!configuration.hosts().containsKey(reference.host())) {
            reportUnresolved(
                    reference.place(),
                    "host",
                    reference.host().value(),
                    configuration.hosts().keySet());
        }
        SourcePlace earlierPlace = firstPlaces.putIfAbsent(reference.host(), reference.place());
        if (earlierPlace != null) {
            problems.add(new ConfigurationProblem(
                    reference.place(),
                    "the host '" + reference.host() + "' is already in a pool at " + earlierPlace,
                    "A host belongs to exactly one pool; remove one of the two lines"));
        }
    }

    private void checkServices() {
        for (ServiceDefinition service : configuration.services().values()) {
            if (!configuration.pools().containsKey(service.pool())) {
                reportUnresolved(
                        service.place(),
                        "pool",
                        service.pool().value(),
                        configuration.pools().keySet());
            }
        }
    }

    private void reportUnresolved(SourcePlace place, String definitionKind, String name, Iterable<?> knownNames) {
        if (mayBeUnread.test(name)) {
            return;
        }
        problems.add(new ConfigurationProblem(
                place,
                "there is no " + definitionKind + " '" + name + "'",
                NearestName.find(name, knownNames)
                        .map(nearest -> "Did you mean '" + nearest + "'?")
                        .orElse("Define it, or correct the name")));
    }
}
