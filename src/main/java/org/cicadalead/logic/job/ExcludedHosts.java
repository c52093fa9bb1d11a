package org.cicadalead.logic.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.cicadalead.logic.capacity.BudgetLedger;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.state.SharedState;

/**
 * Chooses the hosts of a pool that get no jobs because they fail everything. Never more are barred than the
 * availability budgets of the pool's services can spare, and without services never more than a half: when all hosts
 * fail, the jobs are to blame. Stateless; safe for use by several threads.
 */
final class ExcludedHosts {
    private ExcludedHosts() {}

    /** Returns the barred hosts, the worst first. */
    static List<HostName> find(SharedState state, PoolName pool, Collection<HostState> available) {
        return available.stream()
                .filter(host -> state.jobs().host(host.name()).failsEverything())
                .sorted(Comparator.comparing((HostState host) ->
                                -state.jobs().host(host.name()).consecutiveFailures())
                        .thenComparing(HostState::name))
                .limit(maxExcluded(state, pool, available.size()))
                .map(HostState::name)
                .toList();
    }

    private static int maxExcluded(SharedState state, PoolName pool, int available) {
        int most = available / 2;
        for (ServiceDefinition service :
                state.configuration().merged().services().values()) {
            if (service.pool().equals(pool)) {
                int spare = BudgetLedger.availableHosts(state, pool)
                        - service.budget().minimumAvailable();
                most = Math.min(most, Math.max(0, spare));
            }
        }
        return most;
    }
}
