package org.cicadalead.adapters.planning;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.DemandSource;
import org.cicadalead.ports.PlacementControl;

/**
 * Estimates how many hosts of each pool are busy from the requests of this process: the requests in flight and queued,
 * divided by the slots per host, times the number of members, as the load balancer distributes callers evenly.
 * Immutable and safe for use by several threads.
 */
public final class PoolUsage implements DemandSource {
    private final Supplier<SharedState> state;
    private final PlacementControl placements;
    private final ToIntFunction<ServiceName> queuedRequests;

    /** Creates a source from the requests that this process has in flight and in its queues. */
    public PoolUsage(
            Supplier<SharedState> state, PlacementControl placements, ToIntFunction<ServiceName> queuedRequests) {
        this.state = state;
        this.placements = placements;
        this.queuedRequests = queuedRequests;
    }

    @Override
    public Map<PoolName, Double> busyHosts() {
        SharedState current = state.get();
        Map<PoolName, Integer> requests = new HashMap<>();
        Map<PoolName, Integer> slots = new HashMap<>();
        Map<PoolName, Integer> hostCounts = new HashMap<>();
        for (HostState host : current.hosts().values()) {
            HostDefinition definition = current.configuration().merged().hosts().get(host.name());
            if (definition != null) {
                requests.merge(host.pool(), placements.countInFlight(host.name()), Integer::sum);
                slots.merge(host.pool(), definition.slots(), Integer::sum);
                hostCounts.merge(host.pool(), 1, Integer::sum);
            }
        }
        for (ServiceDefinition service :
                current.configuration().merged().services().values()) {
            requests.merge(service.pool(), queuedRequests.applyAsInt(service.name()), Integer::sum);
        }
        int members = Math.max(1, current.members().size());
        Map<PoolName, Double> busyHosts = new HashMap<>();
        hostCounts.forEach((pool, count) -> {
            double slotsOfHost = (double) slots.getOrDefault(pool, 0) / count;
            busyHosts.put(pool, slotsOfHost == 0 ? 0 : requests.getOrDefault(pool, 0) * members / slotsOfHost);
        });
        return busyHosts;
    }
}
