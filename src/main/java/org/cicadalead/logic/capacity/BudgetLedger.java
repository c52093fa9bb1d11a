package org.cicadalead.logic.capacity;

import java.util.Optional;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.state.SharedState;

/**
 * Answers what availability budgets leave for planned work, for one pool of a state. Planned work may take a host only
 * while, after it, the budget would survive the largest failure that it covers. Whoever asks about many hosts of one
 * state uses {@link CapacityIndex}. Stateless; safe for use by several threads.
 */
public final class BudgetLedger {
    private BudgetLedger() {}

    /** Returns the number of hosts of a pool that can take new work. */
    public static int availableHosts(SharedState state, PoolName pool) {
        return CapacityIndex.countPool(state, pool).available();
    }

    /** Tells whether a service's budget holds now. */
    public static boolean isBudgetMet(SharedState state, ServiceDefinition service) {
        return availableHosts(state, service.pool()) >= service.budget().minimumAvailable();
    }

    /**
     * Returns why a host may not be taken from its pool by planned work; empty when every budget allows it. A host that
     * is not available takes nothing now, but would not be there when it came back: the budget must hold without it.
     */
    public static Optional<String> findBudgetViolationAfterRemoval(SharedState state, HostState host) {
        PoolCapacity pool = CapacityIndex.countPool(state, host.pool());
        PoolCapacity rest = host.isAvailable() ? pool.minusAvailable(CapacityIndex.rackOf(state, host)) : pool;
        return rest.findBudgetViolation();
    }
}
