package org.cicadalead.logic.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.cicadalead.logic.configuration.ConfigurationMerger;
import org.cicadalead.model.configuration.ConfigurationProblem;
import org.cicadalead.model.configuration.FleetConfiguration;
import org.cicadalead.model.configuration.PoolDefinition;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.fleet.MaintenanceStep;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.state.ConfigurationState;
import org.cicadalead.model.state.SharedState;
import org.pcollections.TreePMap;

/**
 * Checks whether budgets can be met with the hosts that exist, and whether a publication would break a budget that is
 * met now. Stateless; safe for use by several threads.
 */
public final class BudgetFeasibility {
    private static final String ADVICE = "Add hosts, spread them over more racks, or promise less";

    private BudgetFeasibility() {}

    /**
     * Returns the problems that prevent the budgets of a configuration from being met even if all its declared hosts
     * are up.
     */
    public static List<ConfigurationProblem> findProblems(FleetConfiguration configuration) {
        TreePMap<HostName, HostState> hosts = TreePMap.empty();
        for (Map.Entry<HostName, PoolDefinition> entry :
                ConfigurationMerger.declaredPools(configuration).entrySet()) {
            HostName name = entry.getKey();
            hosts = hosts.plus(
                    name, HostState.declared(name, 0, entry.getValue().name()));
        }
        return findProblems(configuration, hosts);
    }

    /**
     * Returns the problems that prevent the budgets of a configuration from being met even if all given hosts are up: a
     * pool that is too small for a budget after the largest failure that the budget covers, or a fleet that is too
     * small for all promises.
     */
    public static List<ConfigurationProblem> findProblems(
            FleetConfiguration configuration, TreePMap<HostName, HostState> hosts) {
        CapacityIndex index = CapacityIndex.of(createStateWithAllHostsUp(configuration, hosts));
        List<ConfigurationProblem> problems = new ArrayList<>();
        for (ServiceDefinition service : configuration.services().values()) {
            if (missingHosts(service, index) > 0) {
                problems.add(createServiceProblem(service, index.pool(service.pool())));
            }
        }
        if (missingHostsInFleet(index) > 0) {
            problems.add(createFleetProblem(configuration, index));
        }
        return problems;
    }

    /**
     * Returns the problems for which a publication is rejected: problems of its budgets on the existing hosts that the
     * current configuration does not have, and budgets that it would break at once by a raised promise or by removing
     * hosts that are up. A budget that failures or earlier publications have broken does not cause the rejection of an
     * unrelated change.
     */
    public static List<ConfigurationProblem> findPublicationProblems(SharedState current, SharedState updated) {
        FleetConfiguration configuration = updated.configuration().merged();
        CapacityIndex currentAllUp = CapacityIndex.of(
                createStateWithAllHostsUp(current.configuration().merged(), current.hosts()));
        CapacityIndex updatedAllUp = CapacityIndex.of(createStateWithAllHostsUp(configuration, updated.hosts()));
        CapacityIndex currentIndex = CapacityIndex.of(current);
        CapacityIndex updatedIndex = CapacityIndex.of(updated);
        List<ConfigurationProblem> problems = new ArrayList<>();
        for (ServiceDefinition service : configuration.services().values()) {
            Optional<ServiceDefinition> currentService = Optional.ofNullable(
                    current.configuration().merged().services().get(service.name()));
            int currentlyMissing = currentService
                    .map(currentDefinition -> missingHosts(currentDefinition, currentAllUp))
                    .orElse(0);
            if (missingHosts(service, updatedAllUp) > Math.max(0, currentlyMissing)) {
                problems.add(createServiceProblem(service, updatedAllUp.pool(service.pool())));
            } else if (currentService.isPresent()
                    && isBudgetNewlyBroken(service, currentService.get(), currentIndex, updatedIndex)) {
                problems.add(createServiceProblem(service, updatedIndex.pool(service.pool())));
            }
        }
        if (missingHostsInFleet(updatedAllUp) > Math.max(0, missingHostsInFleet(currentAllUp))) {
            problems.add(createFleetProblem(configuration, updatedAllUp));
        }
        return problems;
    }

    private static boolean isBudgetNewlyBroken(
            ServiceDefinition service, ServiceDefinition currentService, CapacityIndex current, CapacityIndex updated) {
        boolean isChanged = !currentService.budget().equals(service.budget())
                || !currentService.pool().equals(service.pool());
        boolean isSmaller = updated.pool(service.pool()).available()
                < current.pool(service.pool()).available();
        int missing = missingHosts(service, updated);
        return (isChanged || isSmaller) && missing > 0 && missing > missingHosts(currentService, current);
    }

    private static int missingHosts(ServiceDefinition service, CapacityIndex index) {
        PoolCapacity pool = index.pool(service.pool());
        return service.budget().minimumAvailable()
                + pool.hostsLostToFailure(service.budget().cover())
                - pool.available();
    }

    private static int missingHostsInFleet(CapacityIndex index) {
        int missing = 0;
        for (PoolCapacity pool : index.pools()) {
            missing += pool.promised() - pool.available();
        }
        return missing;
    }

    private static ConfigurationProblem createServiceProblem(ServiceDefinition service, PoolCapacity pool) {
        int reserve = pool.hostsLostToFailure(service.budget().cover());
        int missing = service.budget().minimumAvailable() + reserve - pool.available();
        return new ConfigurationProblem(
                service.place(),
                "the service '" + service.name() + "' must keep "
                        + service.budget().minimumAvailable() + " hosts, and the pool '" + service.pool() + "' has "
                        + pool.available() + ", of which the largest failure that the budget covers ("
                        + service.budget().cover().label() + ") takes " + reserve + ": " + missing + " are missing",
                ADVICE);
    }

    private static ConfigurationProblem createFleetProblem(FleetConfiguration configuration, CapacityIndex index) {
        PoolCapacity firstShortPool = null;
        List<String> shortPools = new ArrayList<>();
        for (PoolCapacity pool : index.pools()) {
            int surplus = pool.available() - pool.promised();
            if (surplus < 0) {
                shortPools.add(pool.pool() + " misses " + -surplus);
                firstShortPool = firstShortPool == null ? pool : firstShortPool;
            }
        }
        return new ConfigurationProblem(
                configuration
                        .pools()
                        .get(Objects.requireNonNull(firstShortPool).pool())
                        .place(),
                "all pools together are promised " + missingHostsInFleet(index) + " hosts more than exist ("
                        + String.join(", ", shortPools) + ")",
                ADVICE);
    }

    private static SharedState createStateWithAllHostsUp(
            FleetConfiguration configuration, TreePMap<HostName, HostState> hosts) {
        return SharedState.empty()
                .withConfiguration(new ConfigurationState(0, TreePMap.empty(), configuration))
                .withHosts(markAllHostsUp(hosts));
    }

    private static TreePMap<HostName, HostState> markAllHostsUp(TreePMap<HostName, HostState> hosts) {
        TreePMap<HostName, HostState> hostsUp = TreePMap.empty();
        for (HostState host : hosts.values()) {
            PoolName pool = host.move().map(move -> move.destination()).orElse(host.pool());
            hostsUp = hostsUp.plus(
                    host.name(),
                    new HostState(
                            host.name(),
                            host.version(),
                            pool,
                            HostHealth.UP,
                            MaintenanceStep.NONE,
                            Optional.empty(),
                            Optional.empty()));
        }
        return hostsUp;
    }
}
