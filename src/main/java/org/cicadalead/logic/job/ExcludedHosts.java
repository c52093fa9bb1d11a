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
 * Selects the hosts of a pool that are excluded from placement because every job on them fails. Excludes no more hosts
 * than the availability budgets of the pool's services can spare, and never more than half of the available hosts: when
 * all hosts fail, the cause is likely to be the jobs. Stateless; safe for use by several threads.
 */
final class ExcludedHosts {
    private ExcludedHosts() {}

    /** Returns the excluded hosts, those with the most consecutive failures first. */
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
        int limit = available / 2;
        for (ServiceDefinition service :
                state.configuration().merged().services().values()) {
            if (service.pool().equals(pool)) {
                int spareHosts = BudgetLedger.availableHosts(state, pool)
                        - service.budget().minimumAvailable();
                limit = Math.min(limit, Math.max(0, spareHosts));
            }
        }
        return limit;
    }
}
