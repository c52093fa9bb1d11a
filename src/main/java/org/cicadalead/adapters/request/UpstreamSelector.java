package org.cicadalead.adapters.request;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.PlacementControl;

/**
 * Chooses the available host of a service's pool with the fewest requests in flight from this process, own availability
 * zone first, and never more than its slots. Safe for use by several threads.
 */
final class UpstreamSelector implements PlacementControl {
    private final ZoneName ownZone;
    private final Map<HostName, AtomicInteger> inFlight = new ConcurrentHashMap<>();

    UpstreamSelector(ZoneName ownZone) {
        this.ownZone = ownZone;
    }

    /** Takes a slot of the best host; the caller gives it back with {@link #release}. */
    Optional<HostDefinition> acquire(SharedState state, ServiceDefinition service) {
        Optional<HostDefinition> best = Optional.empty();
        long bestCost = Long.MAX_VALUE;
        for (HostState host : state.hosts().values()) {
            if (!host.pool().equals(service.pool()) || !host.isAvailable()) {
                continue;
            }
            HostDefinition definition = state.configuration().merged().hosts().get(host.name());
            long cost = cost(definition);
            if (cost < bestCost) {
                best = Optional.of(definition);
                bestCost = cost;
            }
        }
        return best.filter(this::takeSlot);
    }

    void release(HostName host) {
        counter(host).decrementAndGet();
    }

    @Override
    public int inFlight(HostName host) {
        return counter(host).get();
    }

    /** The client's pool offers no way to close the connections to one host. */
    @Override
    public void closeConnections(HostName host) {
        counter(host);
    }

    private long cost(HostDefinition host) {
        int used = counter(host.name()).get();
        if (used >= host.slots()) {
            return Long.MAX_VALUE;
        }
        return host.zone().equals(ownZone) ? used : (long) used + host.slots();
    }

    private boolean takeSlot(HostDefinition host) {
        AtomicInteger counter = counter(host.name());
        if (counter.incrementAndGet() <= host.slots()) {
            return true;
        }
        counter.decrementAndGet();
        return false;
    }

    private AtomicInteger counter(HostName host) {
        return inFlight.computeIfAbsent(host, unseen -> new AtomicInteger());
    }
}
