package org.cicadalead.logic.fleet;

import java.util.Optional;
import org.cicadalead.logic.configuration.ConfigurationMerger;
import org.cicadalead.model.configuration.FleetConfiguration;
import org.cicadalead.model.configuration.PoolDefinition;
import org.cicadalead.model.fleet.HostMoveState;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.Member;
import org.cicadalead.model.state.SharedState;
import org.pcollections.TreePMap;

/**
 * Reconciles the hosts of a state with a configuration. A host that is declared while there are members enters its pool
 * like a moved host, by acknowledgements and an assignment: it may have been declared in another pool before, and a
 * member whose view lags may still place that pool's work on it. Stateless; safe for use by several threads.
 */
public final class HostDeclaration {
    private HostDeclaration() {}

    /** Returns the state with the hosts of a configuration that was accepted at an offset. */
    public static SharedState reconcile(SharedState state, long offset, FleetConfiguration configuration) {
        TreePMap<HostName, PoolDefinition> declaredPools = ConfigurationMerger.declaredPools(configuration);
        TreePMap<HostName, HostState> hosts = TreePMap.empty();
        for (HostName name : declaredPools.keySet()) {
            PoolName declaredPool = declaredPools.get(name).name();
            HostState existing = state.hosts().get(name);
            hosts = hosts.plus(
                    name, existing == null ? createEnteringHost(state, offset, name, declaredPool) : existing);
        }
        return state.withHosts(hosts);
    }

    /** Creates a move that awaits the acknowledgement of every member. */
    static HostMoveState createMove(SharedState state, long offset, PoolName destination) {
        TreePMap<ProcessIdentifier, Long> awaited = TreePMap.empty();
        for (Member member : state.members().values()) {
            awaited = awaited.plus(member.process(), member.version());
        }
        return new HostMoveState(offset, destination, awaited, false);
    }

    private static HostState createEnteringHost(SharedState state, long offset, HostName name, PoolName pool) {
        HostState host = HostState.declared(name, offset, pool);
        return state.members().isEmpty() ? host : host.withMove(offset, Optional.of(createMove(state, offset, pool)));
    }
}
