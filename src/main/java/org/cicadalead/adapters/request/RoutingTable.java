package org.cicadalead.adapters.request;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.Supplier;
import org.cicadalead.logic.request.HostRuntime;
import org.cicadalead.logic.request.RoutingIndex;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.state.SharedState;

/**
 * Holds the routing index. When hosts or configuration change, one thread rebuilds it, and all others continue to use
 * the old one, whose hosts are checked again before anything is sent. Safe for use by several threads.
 */
final class RoutingTable {
    private final Supplier<SharedState> state;
    private final ZoneName zone;
    private final Function<HostName, HostRuntime> runtimes;
    private final AtomicReference<RoutingIndex> index;
    private final AtomicBoolean rebuilding = new AtomicBoolean();

    RoutingTable(Supplier<SharedState> state, ZoneName zone, Function<HostName, HostRuntime> runtimes) {
        this.state = state;
        this.zone = zone;
        this.runtimes = runtimes;
        this.index = new AtomicReference<>(RoutingIndex.of(state.get(), zone, runtimes));
    }

    /** Returns the index, rebuilt if the shared state has changed, or the old one while another thread rebuilds it. */
    RoutingIndex refreshIndex() {
        RoutingIndex indexed = index.get();
        SharedState current = state.get();
        if (hasSameFleet(indexed.state(), current) || !rebuilding.compareAndSet(false, true)) {
            return indexed;
        }
        try {
            RoutingIndex rebuilt = RoutingIndex.of(state.get(), zone, runtimes);
            index.set(rebuilt);
            return rebuilt;
        } finally {
            rebuilding.set(false);
        }
    }

    /**
     * Compares by reference, as the maps of the shared state are persistent and an unchanged map is the same object.
     */
    @SuppressWarnings("ReferenceEquality")
    private static boolean hasSameFleet(SharedState indexed, SharedState current) {
        return indexed.hosts() == current.hosts() && indexed.configuration() == current.configuration();
    }
}
