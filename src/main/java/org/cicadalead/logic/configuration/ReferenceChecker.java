package org.cicadalead.logic.configuration;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cicadalead.model.configuration.ConfigurationProblem;
import org.cicadalead.model.configuration.FleetConfiguration;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.configuration.PoolDefinition;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.configuration.SourcePlace;
import org.cicadalead.model.identity.HostName;

/** Checks that the references of a merged configuration resolve. Stateless; safe for use by several threads. */
final class ReferenceChecker {
    private ReferenceChecker() {}

    static void check(FleetConfiguration configuration, List<ConfigurationProblem> problems) {
        checkHosts(configuration, problems);
        checkPools(configuration, problems);
        checkServices(configuration, problems);
    }

    private static void checkHosts(FleetConfiguration configuration, List<ConfigurationProblem> problems) {
        Map<NetworkAddress, HostDefinition> addresses = new HashMap<>();
        for (HostDefinition host : configuration.hosts().values()) {
            if (!configuration.zones().containsKey(host.zone())) {
                problems.add(unresolved(
                        host.place(),
                        "availability zone",
                        host.zone().value(),
                        configuration.zones().keySet()));
            }
            HostDefinition earlier = addresses.putIfAbsent(host.address(), host);
            if (earlier != null) {
                problems.add(new ConfigurationProblem(
                        host.place(),
                        "the host '" + host.name() + "' has the address " + host.address() + " of the host '"
                                + earlier.name() + "' at " + earlier.place(),
                        "Give each host an address of its own"));
            }
        }
    }

    private static void checkPools(FleetConfiguration configuration, List<ConfigurationProblem> problems) {
        Map<HostName, SourcePlace> places = new HashMap<>();
        Set<HostName> declared = new HashSet<>();
        for (PoolDefinition pool : configuration.pools().values()) {
            for (PoolDefinition.HostReference reference : pool.hosts()) {
                declared.add(reference.host());
                checkReference(configuration, places, reference, problems);
            }
        }
        for (HostDefinition host : configuration.hosts().values()) {
            if (!declared.contains(host.name())) {
                problems.add(new ConfigurationProblem(
                        host.place(),
                        "the host '" + host.name() + "' is in no pool",
                        "Add it to the hosts of one pool"));
            }
        }
    }

    private static void checkReference(
            FleetConfiguration configuration,
            Map<HostName, SourcePlace> places,
            PoolDefinition.HostReference reference,
            List<ConfigurationProblem> problems) {
        if (!configuration.hosts().containsKey(reference.host())) {
            problems.add(unresolved(
                    reference.place(),
                    "host",
                    reference.host().value(),
                    configuration.hosts().keySet()));
        }
        SourcePlace earlier = places.putIfAbsent(reference.host(), reference.place());
        if (earlier != null) {
            problems.add(new ConfigurationProblem(
                    reference.place(),
                    "the host '" + reference.host() + "' is already in a pool at " + earlier,
                    "A host belongs to exactly one pool; remove one of the two lines"));
        }
    }

    private static void checkServices(FleetConfiguration configuration, List<ConfigurationProblem> problems) {
        for (ServiceDefinition service : configuration.services().values()) {
            if (!configuration.pools().containsKey(service.pool())) {
                problems.add(unresolved(
                        service.place(),
                        "pool",
                        service.pool().value(),
                        configuration.pools().keySet()));
            }
        }
    }

    private static ConfigurationProblem unresolved(
            SourcePlace place, String what, String name, Iterable<?> knownNames) {
        return new ConfigurationProblem(
                place,
                "there is no " + what + " '" + name + "'",
                NearestName.find(name, knownNames)
                        .map(nearest -> "Did you mean '" + nearest + "'?")
                        .orElse("Define it, or correct the name"));
    }
}
