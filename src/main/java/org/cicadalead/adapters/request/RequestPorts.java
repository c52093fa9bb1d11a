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
 * What the request path needs from the rest of an entry process. Immutable; its parts are safe for use by several
 * threads.
 *
 * @param process this process
 * @param state gives the newest shared state
 * @param view whether work may be placed on a host now
 * @param peers the other entry processes; without them a process uses one slot of each worker and runs no request that
 *     carries an idempotency key
 * @param membershipMonitor every change of the members
 * @param timers time
 * @param events where decisions are reported
 * @param metrics where measurements are kept
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
    /** Returns a view that goes by the newest shared state alone. */
    public static PlacementView createView(Supplier<SharedState> state) {
        return chosen -> {
            var newest = state.get().hosts().get(chosen.name());
            return newest != null && newest.version() == chosen.version() && newest.isAvailable();
        };
    }
}
