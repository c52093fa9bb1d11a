package org.cicadalead.logic.capacity;

import java.util.HashMap;
import java.util.Map;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.RackName;
import org.cicadalead.model.state.SharedState;

/**
 * Computes the size of the largest failure of a single rack, which determines the size of the shared spare pool.
 * Stateless; safe for use by several threads.
 */
public final class LargestRackFailure {
    private LargestRackFailure() {}

    /** Returns the largest number of available hosts on any one rack, spare hosts included. */
    public static int countHosts(SharedState state) {
        Map<RackName, Integer> availableByRack = new HashMap<>();
        for (HostState host : state.hosts().values()) {
            if (host.isAvailable()) {
                availableByRack.merge(CapacityIndex.rackOf(state, host), 1, Integer::sum);
            }
        }
        return availableByRack.values().stream()
                .mapToInt(Integer::intValue)
                .max()
                .orElse(0);
    }
}
