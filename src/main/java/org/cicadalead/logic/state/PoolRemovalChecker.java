package org.cicadalead.logic.state;

import java.util.ArrayList;
import java.util.List;
import org.cicadalead.model.configuration.FleetConfiguration;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.state.SharedState;

/**
 * Checks that no host would be left in, or on its way to, a pool that a publication removes. Stateless; safe for use by
 * several threads.
 */
final class PoolRemovalChecker {
    private PoolRemovalChecker() {}

    /** Returns every problem, in the order of the hosts' names. */
    static List<String> problems(SharedState state, FleetConfiguration configuration) {
        List<String> problems = new ArrayList<>();
        for (HostState host : state.hosts().values()) {
            if (!configuration.hosts().containsKey(host.name())) {
                continue;
            }
            if (!configuration.pools().containsKey(host.pool())) {
                problems.add(problem(host, "is in", host.pool()));
            }
            host.move()
                    .filter(move -> !configuration.pools().containsKey(move.destination()))
                    .ifPresent(move -> problems.add(problem(host, "is moving to", move.destination())));
        }
        return problems;
    }

    private static String problem(HostState host, String relation, PoolName pool) {
        return "the host '" + host.name() + "' " + relation + " the pool '" + pool
                + "', which would be removed; move the host first";
    }
}
