package org.cicadalead.logic.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.configuration.PoolDefinition;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.RackName;
import org.cicadalead.model.state.SharedState;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Host counts of all pools by rack, built in one pass over the fleet, so that a budget check takes time proportional to
 * the racks of one pool. A planner keeps one index through a cycle and updates it with its decisions. Immutable.
 */
public final class CapacityIndex {
    private final SharedState state;
    private final PMap<PoolName, PoolCapacity> pools;

    private CapacityIndex(SharedState state, PMap<PoolName, PoolCapacity> pools) {
        this.state = state;
        this.pools = pools;
    }

    /** Counts every pool of a state. */
    public static CapacityIndex of(SharedState state) {
        return of(state, Set.of());
    }

    /** Counts every pool of a state; suspected hosts do not count as available. */
    public static CapacityIndex of(SharedState state, Set<HostName> suspects) {
        Map<PoolName, Counter> counters = new HashMap<>();
        for (HostState host : state.hosts().values()) {
            counters.computeIfAbsent(host.pool(), unused -> new Counter())
                    .add(host, rackOf(state, host), suspects.contains(host.name()));
            if (host.move().isPresent() && host.health().isAvailable() && !suspects.contains(host.name())) {
                counters.computeIfAbsent(host.move().get().destination(), unused -> new Counter()).incoming++;
            }
        }
        Map<PoolName, List<ServiceDefinition>> services = servicesByPool(state);
        PMap<PoolName, PoolCapacity> pools = HashTreePMap.empty();
        for (PoolDefinition pool : state.configuration().merged().pools().values()) {
            Counter counter = counters.getOrDefault(pool.name(), new Counter());
            pools = pools.plus(
                    pool.name(), counter.toPoolCapacity(pool.name(), services.getOrDefault(pool.name(), List.of())));
        }
        return new CapacityIndex(state, pools);
    }

    /** Counts a single pool of a state, without building an index. */
    public static PoolCapacity countPool(SharedState state, PoolName pool) {
        Counter counter = new Counter();
        for (HostState host : state.hosts().values()) {
            if (host.pool().equals(pool)) {
                counter.add(host, rackOf(state, host), false);
            } else if (host.health().isAvailable()
                    && host.move()
                            .filter(move -> move.destination().equals(pool))
                            .isPresent()) {
                counter.incoming++;
            }
        }
        List<ServiceDefinition> services = state.configuration().merged().services().values().stream()
                .filter(service -> service.pool().equals(pool))
                .toList();
        return counter.toPoolCapacity(pool, services);
    }

    /** Returns the capacity of a pool; a pool that is not configured has no hosts. */
    public PoolCapacity pool(PoolName name) {
        return pools.getOrDefault(name, PoolCapacity.empty(name, List.of()));
    }

    /** Returns the capacity of each configured pool. */
    public Iterable<PoolCapacity> pools() {
        return pools.values();
    }

    /** Returns why planned work may not take an available host; empty if every budget allows it. */
    public Optional<String> findBudgetViolationAfterRemoval(HostState host) {
        return pool(host.pool()).minusAvailable(rackOf(state, host)).findBudgetViolation();
    }

    /** Returns the index after planned work has taken an available host. */
    public CapacityIndex withoutHost(HostState host) {
        PoolCapacity remaining = pool(host.pool()).minusAvailable(rackOf(state, host));
        return new CapacityIndex(state, pools.plus(host.pool(), remaining));
    }

    /** Returns the index after a host was withdrawn from its pool to move to another one. */
    public CapacityIndex withMove(HostState host, PoolName destination) {
        PoolCapacity target = pool(destination);
        PoolCapacity targetWithMove =
                target.withHostCounts(target.members(), target.incoming() + 1, target.returning());
        CapacityIndex remaining = host.isAvailable() ? withoutHost(host) : this;
        return new CapacityIndex(state, remaining.pools.plus(destination, targetWithMove));
    }

    /** Returns the rack of a host. */
    static RackName rackOf(SharedState state, HostState host) {
        HostDefinition definition = state.configuration().merged().hosts().get(host.name());
        return definition == null ? new RackName("unknown") : definition.rack();
    }

    private static Map<PoolName, List<ServiceDefinition>> servicesByPool(SharedState state) {
        Map<PoolName, List<ServiceDefinition>> services = new HashMap<>();
        for (ServiceDefinition service :
                state.configuration().merged().services().values()) {
            services.computeIfAbsent(service.pool(), unused -> new ArrayList<>())
                    .add(service);
        }
        return services;
    }

    private static final class Counter {
        private final Map<RackName, Integer> availableByRack = new HashMap<>();
        private int members;
        private int incoming;
        private int returning;

        void add(HostState host, RackName rack, boolean suspect) {
            members++;
            if (suspect) {
                return;
            }
            if (host.isAvailable()) {
                availableByRack.merge(rack, 1, Integer::sum);
            } else if (isReturning(host)) {
                returning++;
            }
        }

        PoolCapacity toPoolCapacity(PoolName pool, List<ServiceDefinition> services) {
            return new PoolCapacity(pool, services, members, incoming, returning, HashTreePMap.from(availableByRack));
        }

        private static boolean isReturning(HostState host) {
            return switch (host.maintenance()) {
                case DRAINING, REBOOTING, VERIFYING -> host.health().isAvailable();
                case NONE, HELD, FAILED -> false;
            };
        }
    }
}
