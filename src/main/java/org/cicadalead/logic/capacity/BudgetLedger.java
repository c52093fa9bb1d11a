package org.cicadalead.logic.capacity;

import java.util.Optional;
import org.cicadalead.model.configuration.AvailabilityBudget;
import org.cicadalead.model.configuration.FailureCover;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.RackName;
import org.cicadalead.model.state.SharedState;
import org.pcollections.TreePMap;

/**
 * Computes what availability budgets leave for planned work on a state. Planned work may take a host only while, after
 * it, the budget would survive the largest failure that it covers. Stateless; safe for use by several threads.
 */
public final class BudgetLedger {
    private BudgetLedger() {}

    /** Returns the number of hosts of a pool that can take new work. */
    public static int availableHosts(SharedState state, PoolName pool) {
        int available = 0;
        for (HostState host : state.hosts().values()) {
            if (host.pool().equals(pool) && host.isAvailable()) {
                available++;
            }
        }
        return available;
    }

    /** Tells whether a service's budget holds now. */
    public static boolean holds(SharedState state, ServiceDefinition service) {
        return availableHosts(state, service.pool()) >= service.budget().minimumAvailable();
    }

    /** Returns why a host may not be taken from its pool by planned work; empty when every budget allows it. */
    public static Optional<String> objectionToRemoval(SharedState state, HostState host) {
        SharedState without = state.withHosts(state.hosts().minus(host.name()));
        for (ServiceDefinition service :
                state.configuration().merged().services().values()) {
            if (!service.pool().equals(host.pool())) {
                continue;
            }
            AvailabilityBudget budget = service.budget();
            int available = availableHosts(without, host.pool());
            int reserve = largestCoveredFailure(without, host.pool(), budget.cover());
            if (available - reserve < budget.minimumAvailable()) {
                return Optional.of("The service '" + service.name() + "' would have " + available
                        + " hosts available and must keep " + budget.minimumAvailable()
                        + " after the largest failure that its budget covers (" + reserve + " hosts)");
            }
        }
        return Optional.empty();
    }

    private static int largestCoveredFailure(SharedState state, PoolName pool, FailureCover cover) {
        if (cover == FailureCover.NONE) {
            return 0;
        }
        TreePMap<RackName, Integer> availableByRack = availableByRack(state, pool);
        int largest = availableByRack.values().stream()
                .mapToInt(Integer::intValue)
                .max()
                .orElse(0);
        return cover == FailureCover.HOST ? Math.min(largest, 1) : largest;
    }

    private static TreePMap<RackName, Integer> availableByRack(SharedState state, PoolName pool) {
        TreePMap<RackName, Integer> counts = TreePMap.empty();
        for (HostState host : state.hosts().values()) {
            if (host.pool().equals(pool) && host.isAvailable()) {
                HostDefinition definition =
                        state.configuration().merged().hosts().get(host.name());
                counts = counts.plus(definition.rack(), counts.getOrDefault(definition.rack(), 0) + 1);
            }
        }
        return counts;
    }
}
