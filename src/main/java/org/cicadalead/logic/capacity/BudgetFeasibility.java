package org.cicadalead.logic.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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
    public static List<ConfigurationProblem> problems(FleetConfiguration configuration) {
        TreePMap<HostName, HostState> hosts = TreePMap.empty();
        for (Map.Entry<HostName, PoolDefinition> entry :
                ConfigurationMerger.declaredPools(configuration).entrySet()) {
            HostName name = entry.getKey();
            hosts = hosts.plus(
                    name, HostState.declared(name, 0, entry.getValue().name()));
        }
        return problems(configuration, hosts);
    }

    /**
     * Returns what keeps the budgets of a configuration from holding on hosts, all of them working: a pool that is too
     * small for a budget after the largest failure that it covers, or a fleet that is too small for all promises.
     */
    public static List<ConfigurationProblem> problems(
            FleetConfiguration configuration, TreePMap<HostName, HostState> hosts) {
        SharedState working = SharedState.empty()
                .withConfiguration(new ConfigurationState(0, TreePMap.empty(), configuration))
                .withHosts(allWorking(hosts));
        CapacityIndex index = CapacityIndex.of(working);
        List<ConfigurationProblem> problems = new ArrayList<>();
        for (ServiceDefinition service : configuration.services().values()) {
            problemOf(service, index.pool(service.pool())).ifPresent(problems::add);
        }
        fleetProblem(configuration, index).ifPresent(problems::add);
        return problems;
    }

    /**
     * Returns the budgets that a publication itself would break: those that are new or raised, and those whose pool
     * loses working hosts. A budget that failures have broken already does not refuse an unrelated change.
     */
    public static List<ConfigurationProblem> damage(SharedState before, SharedState after) {
        CapacityIndex indexBefore = CapacityIndex.of(before);
        CapacityIndex indexAfter = CapacityIndex.of(after);
        List<ConfigurationProblem> problems = new ArrayList<>();
        for (ServiceDefinition service :
                after.configuration().merged().services().values()) {
            PoolCapacity left = indexAfter.pool(service.pool());
            ServiceDefinition earlier =
                    before.configuration().merged().services().get(service.name());
            boolean changed = earlier == null
                    || !earlier.budget().equals(service.budget())
                    || !earlier.pool().equals(service.pool());
            boolean smaller =
                    left.available() < indexBefore.pool(service.pool()).available();
            if (changed || smaller) {
                problemOf(service, left).ifPresent(problems::add);
            }
        }
        return problems;
    }

    private static Optional<ConfigurationProblem> problemOf(ServiceDefinition service, PoolCapacity pool) {
        int reserve = pool.reserve(service.budget().cover());
        int missing = service.budget().minimumAvailable() + reserve - pool.available();
        if (missing <= 0) {
            return Optional.empty();
        }
        return Optional.of(new ConfigurationProblem(
                service.place(),
                "the service '" + service.name() + "' must keep "
                        + service.budget().minimumAvailable() + " hosts, and the pool '" + service.pool() + "' has "
                        + pool.available() + ", of which the largest failure that the budget covers ("
                        + service.budget().cover().label() + ") takes " + reserve + ": " + missing + " are missing",
                ADVICE));
    }

    private static Optional<ConfigurationProblem> fleetProblem(FleetConfiguration configuration, CapacityIndex index) {
        int missing = 0;
        int beyondPromises = 0;
        List<String> shortPools = new ArrayList<>();
        for (PoolCapacity pool : index.pools()) {
            int beyond = pool.available() - pool.promised();
            missing += Math.max(0, -beyond);
            beyondPromises += Math.max(0, beyond);
            if (beyond < 0) {
                shortPools.add(pool.pool() + " misses " + -beyond);
            }
        }
        if (missing <= beyondPromises || shortPools.isEmpty()) {
            return Optional.empty();
        }
        PoolName first = new PoolName(shortPools.get(0).split(" ", 2)[0]);
        return Optional.of(new ConfigurationProblem(
                configuration.pools().get(first).place(),
                "the pools are promised " + missing + " hosts more than they have (" + String.join(", ", shortPools)
                        + "), and only " + beyondPromises + " hosts are beyond the promises elsewhere",
                ADVICE));
    }

    private static TreePMap<HostName, HostState> allWorking(TreePMap<HostName, HostState> hosts) {
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
