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
 * Tells whether budgets can hold on the hosts that exist, and whether a publication would break one that holds.
 * Stateless; safe for use by several threads.
 */
public final class BudgetFeasibility {
    private static final String ADVICE = "Add hosts, spread them over more racks, or promise less";

    private BudgetFeasibility() {}

    /** Returns what keeps the budgets of a configuration from holding on its declared hosts, all of them working. */
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
     * Returns what keeps the budgets of a configuration from holding on hosts, all of them working: a pool that is too
     * small for a budget after the largest failure that it covers, or a fleet that is too small for all promises.
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
     * Returns why a publication is refused: what keeps its budgets from holding on the hosts that exist and did not
     * before, and the budgets that it would break at once, by a raised promise or by taking working hosts away. What
     * failures or earlier publications have broken refuses no unrelated change.
     */
    public static List<ConfigurationProblem> findPublicationProblems(SharedState before, SharedState after) {
        FleetConfiguration configuration = after.configuration().merged();
        CapacityIndex wholeBefore = CapacityIndex.of(
                createStateWithAllHostsUp(before.configuration().merged(), before.hosts()));
        CapacityIndex wholeAfter = CapacityIndex.of(createStateWithAllHostsUp(configuration, after.hosts()));
        CapacityIndex nowBefore = CapacityIndex.of(before);
        CapacityIndex nowAfter = CapacityIndex.of(after);
        List<ConfigurationProblem> problems = new ArrayList<>();
        for (ServiceDefinition service : configuration.services().values()) {
            Optional<ServiceDefinition> earlier = Optional.ofNullable(
                    before.configuration().merged().services().get(service.name()));
            int missingBefore =
                    earlier.map(found -> missingHosts(found, wholeBefore)).orElse(0);
            if (missingHosts(service, wholeAfter) > Math.max(0, missingBefore)) {
                problems.add(createServiceProblem(service, wholeAfter.pool(service.pool())));
            } else if (earlier.isPresent() && isBudgetNewlyBroken(service, earlier.get(), nowBefore, nowAfter)) {
                problems.add(createServiceProblem(service, nowAfter.pool(service.pool())));
            }
        }
        if (missingHostsInFleet(wholeAfter) > Math.max(0, missingHostsInFleet(wholeBefore))) {
            problems.add(createFleetProblem(configuration, wholeAfter));
        }
        return problems;
    }

    private static boolean isBudgetNewlyBroken(
            ServiceDefinition service, ServiceDefinition earlier, CapacityIndex before, CapacityIndex after) {
        boolean changed =
                !earlier.budget().equals(service.budget()) || !earlier.pool().equals(service.pool());
        boolean smaller = after.pool(service.pool()).available()
                < before.pool(service.pool()).available();
        int missing = missingHosts(service, after);
        return (changed || smaller) && missing > 0 && missing > missingHosts(earlier, before);
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
        PoolCapacity shortest = null;
        List<String> shortPools = new ArrayList<>();
        for (PoolCapacity pool : index.pools()) {
            int beyond = pool.available() - pool.promised();
            if (beyond < 0) {
                shortPools.add(pool.pool() + " misses " + -beyond);
                shortest = shortest == null ? pool : shortest;
            }
        }
        return new ConfigurationProblem(
                configuration
                        .pools()
                        .get(Objects.requireNonNull(shortest).pool())
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
        TreePMap<HostName, HostState> working = TreePMap.empty();
        for (HostState host : hosts.values()) {
            PoolName pool = host.move().map(move -> move.destination()).orElse(host.pool());
            working = working.plus(
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
        return working;
    }
}
