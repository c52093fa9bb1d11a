package org.cicadalead.logic.capacity;

import java.util.Optional;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.state.SharedState;

/**
 * Checks availability budgets for one pool of a state. Planned work may take a host only if, without that host, the
 * budget would still be met after the largest failure that it covers. Callers that check many hosts of one state should
 * use {@link CapacityIndex}, which counts the fleet only once. Stateless; safe for use by several threads.
 */
public final class BudgetLedger {
    private BudgetLedger() {}

    /** Returns the number of hosts of a pool that can take new work. */
    public static int availableHosts(SharedState state, PoolName pool) {
        return CapacityIndex.countPool(state, pool).available();
    }

    /** Tells whether the budget of a service is met now. */
    public static boolean isBudgetMet(SharedState state, ServiceDefinition service) {
        return availableHosts(state, service.pool()) >= service.budget().minimumAvailable();
    }

    /**
     * Returns why planned work may not take a host from its pool; empty if every budget allows it. Taking a host that
     * is unavailable lowers nothing now, but the pool would not get it back, so the budgets must be met without it.
     */
    public static Optional<String> findBudgetViolationAfterRemoval(SharedState state, HostState host) {
        PoolCapacity pool = CapacityIndex.countPool(state, host.pool());
        PoolCapacity remaining = host.isAvailable() ? pool.minusAvailable(CapacityIndex.rackOf(state, host)) : pool;
        return remaining.findBudgetViolation();
    }
}
