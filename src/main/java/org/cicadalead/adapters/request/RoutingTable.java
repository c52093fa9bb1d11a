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
 * Holds the newest routing index: one thread makes it anew when hosts or configuration change, and all others go on
 * with the old one, whose hosts are checked again before anything is sent. Safe for use by several threads.
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

    /** Returns an index as new as the shared state, unless another thread is making it. */
    RoutingIndex refreshIndex() {
        RoutingIndex held = index.get();
        SharedState current = state.get();
        if (hasSameFleet(held.state(), current) || !rebuilding.compareAndSet(false, true)) {
            return held;
        }
        try {
            RoutingIndex fresh = RoutingIndex.of(state.get(), zone, runtimes);
            index.set(fresh);
            return fresh;
        } finally {
            rebuilding.set(false);
        }
    }

    /** The maps of the shared state are persistent, so that an unchanged one is the same object. */
    @SuppressWarnings("ReferenceEquality")
    private static boolean hasSameFleet(SharedState held, SharedState current) {
        return held.hosts() == current.hosts() && held.configuration() == current.configuration();
    }
}
