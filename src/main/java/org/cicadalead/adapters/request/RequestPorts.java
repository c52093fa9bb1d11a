package org.cicadalead.adapters.request;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.Optional;
import java.util.function.Supplier;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.EventSink;
import org.cicadalead.ports.PeerChannel;
import org.cicadalead.ports.PlacementView;
import org.cicadalead.ports.TimerService;

/**
 * Services of the entry process that the request pipeline uses. Immutable; its components are safe for use by several
 * threads.
 *
 * @param process this process
 * @param state supplies the newest shared state
 * @param view checks whether work may be placed on a host
 * @param peers channel to the other entry processes; without it, a process uses one slot of each worker and runs no
 *     request with an idempotency key
 * @param membershipMonitor records every change of the members
 * @param timers clock and timers
 * @param events receives the events
 * @param metrics registry of the metrics
 */
public record RequestPorts(
        ProcessIdentifier process,
        Supplier<SharedState> state,
        PlacementView view,
        Optional<PeerChannel> peers,
        MembershipMonitor membershipMonitor,
        TimerService timers,
        EventSink events,
        MeterRegistry metrics) {
    /** Creates a view that uses only the newest shared state. */
    public static PlacementView createView(Supplier<SharedState> state) {
        return chosen -> {
            var current = state.get().hosts().get(chosen.name());
            return current != null && current.version() == chosen.version() && current.isAvailable();
        };
    }
}
