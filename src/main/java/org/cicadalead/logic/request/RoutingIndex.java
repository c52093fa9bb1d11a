package org.cicadalead.logic.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.configuration.TeamDefinition;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.identity.TeamName;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.state.SharedState;

/**
 * Index of the shared state for routing requests. It is rebuilt when the state changes and read without a lock, so that
 * routing a request costs one lookup and one pass over the hosts of one pool. Immutable, except for the hosts'
 * runtimes.
 */
public final class RoutingIndex {
    private final SharedState state;
    private final Map<ServiceName, ServiceRoute> services;
    private final Map<PoolName, List<ServiceRoute>> routesByPool = new HashMap<>();

    private RoutingIndex(SharedState state, Map<ServiceName, ServiceRoute> services) {
        this.state = state;
        this.services = services;
        services.values().forEach(route -> routesByPool
                .computeIfAbsent(route.service().pool(), unseen -> new ArrayList<>())
                .add(route));
    }

    /** Creates the index of a state. */
    public static RoutingIndex of(SharedState state, ZoneName ownZone, Function<HostName, HostRuntime> runtimes) {
        Map<PoolName, List<HostRoute>> hostsByPool = new HashMap<>();
        for (HostState host : state.hosts().values()) {
            HostDefinition definition = state.configuration().merged().hosts().get(host.name());
            if (host.isAvailable() && definition != null) {
                boolean inOwnZone = definition.zone().equals(ownZone);
                hostsByPool
                        .computeIfAbsent(host.pool(), unseen -> new ArrayList<>())
                        .add(new HostRoute(host, definition, inOwnZone, runtimes.apply(host.name())));
            }
        }
        hostsByPool.values().forEach(hosts -> hosts.sort(Comparator.comparing(host -> !host.inOwnZone())));
        Map<ServiceName, ServiceRoute> services = new HashMap<>();
        Map<PoolName, Integer> minimums = computeMinimumAvailableByPool(state);
        for (ServiceDefinition service :
                state.configuration().merged().services().values()) {
            services.put(
                    service.name(),
                    new ServiceRoute(
                            service,
                            minimums.getOrDefault(service.pool(), 0),
                            hostsByPool.getOrDefault(service.pool(), List.of())));
        }
        return new RoutingIndex(state, services);
    }

    /** Returns the state from which the index was created. */
    public SharedState state() {
        return state;
    }

    /** Returns the route of a service. */
    public Optional<ServiceRoute> findRoute(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the routes of the services that run on a pool. */
    public List<ServiceRoute> routesOf(PoolName pool) {
        return routesByPool.getOrDefault(pool, List.of());
    }

    /** Returns the share of a team. */
    public int shareOf(TeamName team) {
        TeamDefinition definition = state.configuration().merged().teams().get(team);
        return definition == null ? TeamDefinition.DEFAULT_SHARE : definition.share();
    }

    private static Map<PoolName, Integer> computeMinimumAvailableByPool(SharedState state) {
        Map<PoolName, Integer> minimums = new HashMap<>();
        for (ServiceDefinition service :
                state.configuration().merged().services().values()) {
            minimums.merge(service.pool(), service.budget().minimumAvailable(), Math::max);
        }
        return minimums;
    }
}
