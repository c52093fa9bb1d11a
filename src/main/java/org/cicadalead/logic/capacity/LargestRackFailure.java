package org.cicadalead.logic.capacity;

import java.util.HashMap;
import java.util.Map;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.RackName;
import org.cicadalead.model.state.SharedState;

/** Sizes the shared spare pool. Stateless; safe for use by several threads. */
public final class LargestRackFailure {
    private LargestRackFailure() {}

    /** Returns the number of hosts that the loss of any one rack takes, spare hosts on the rack included. */
    public static int countHosts(SharedState state) {
        Map<RackName, Integer> available = new HashMap<>();
        for (HostState host : state.hosts().values()) {
            if (host.isAvailable()) {
                available.merge(CapacityIndex.rackOf(state, host), 1, Integer::sum);
            }
        }
        return available.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }
}
