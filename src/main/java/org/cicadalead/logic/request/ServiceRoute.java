package org.cicadalead.logic.request;

import java.util.List;
import java.util.Optional;
import org.cicadalead.model.configuration.ServiceDefinition;

/**
 * Hosts to which requests of a service may be sent. Immutable, except for the hosts' runtimes.
 *
 * @param service the service
 * @param minimumAvailable number of hosts that the availability budgets of the pool require in use
 * @param hosts available hosts of its pool, those of the own availability zone first, then by name
 */
public record ServiceRoute(ServiceDefinition service, int minimumAvailable, List<HostRoute> hosts) {
    private static final long LOAD_SCALE = 1_000;

    /** Copies the list. */
    public ServiceRoute {
        hosts = List.copyOf(hosts);
    }

    /**
     * Acquires a slot of the least loaded host with a free slot. Hosts of the own availability zone are preferred.
     *
     * @param rotation offset that spreads ties over the hosts; any number
     */
    public Optional<HostRoute> tryAcquireHost(int rotation, long now) {
        for (int attempt = 0; attempt < hosts.size(); attempt++) {
            Optional<HostRoute> best = findLeastLoaded(rotation, now);
            if (best.isEmpty()) {
                return Optional.empty();
            }
            HostRuntime runtime = best.get().runtime();
            if (runtime.slots().tryAcquire(runtime.usableSlots(now))) {
                return best;
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the number of slots that this process may use for the service at the given time, as limited by the health
     * of the hosts.
     */
    public int usableSlots(long now) {
        int slots = 0;
        for (HostRoute host : hosts) {
            slots += Math.max(0, host.runtime().usableSlots(now));
        }
        return slots;
    }

    /** Returns the number of free slots of this process for the service. */
    public int freeSlots(long now) {
        int free = 0;
        for (HostRoute host : hosts) {
            free += Math.max(0, freeSlotsOf(host.runtime(), now));
        }
        return free;
    }

    /** Returns whether one more host may be ejected without breaking an availability budget. */
    public boolean canEject() {
        int inUse = 0;
        for (HostRoute host : hosts) {
            inUse += host.runtime().record().isEjected() ? 0 : 1;
        }
        return inUse - 1 >= Math.max(1, minimumAvailable);
    }

    private Optional<HostRoute> findLeastLoaded(int rotation, long now) {
        HostRoute best = null;
        long bestLoad = Long.MAX_VALUE;
        int offset = Math.floorMod(rotation, Math.max(1, hosts.size()));
        for (int index = 0; index < hosts.size(); index++) {
            HostRoute host = hosts.get((index + offset) % hosts.size());
            long load = computeLoad(host, now);
            if (load < bestLoad) {
                best = host;
                bestLoad = load;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the load by which hosts are compared. A host with consecutive failures that may not be ejected is chosen
     * last, and a host of another zone after those of the own zone.
     */
    private static long computeLoad(HostRoute host, long now) {
        HostRuntime runtime = host.runtime();
        if (freeSlotsOf(runtime, now) <= 0) {
            return Long.MAX_VALUE;
        }
        SlotCounts counts = runtime.slots().counts();
        long load = counts.used() * LOAD_SCALE / Math.max(1, counts.limit());
        long otherZonePenalty = host.inOwnZone() ? 0 : 2 * LOAD_SCALE;
        long failurePenalty =
                runtime.record().consecutiveFailures() >= UpstreamHealthRecord.EJECTION_THRESHOLD ? 4 * LOAD_SCALE : 0;
        return load + otherZonePenalty + failurePenalty;
    }

    private static int freeSlotsOf(HostRuntime runtime, long now) {
        SlotCounts counts = runtime.slots().counts();
        return Math.min(counts.free(), runtime.usableSlots(now) - counts.used());
    }
}
