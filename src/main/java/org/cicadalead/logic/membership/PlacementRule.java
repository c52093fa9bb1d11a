package org.cicadalead.logic.membership;

import java.util.Optional;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.state.SharedState;

/** Decides whether a process may send work to a host that it has chosen. Stateless; safe for use by several threads. */
public final class PlacementRule {
    private PlacementRule() {}

    /** Tells why work may not be sent; empty when it may. */
    public static Optional<Refusal> findRefusal(SharedState state, HostState chosen, PlacementContext view) {
        if (!state.members().containsKey(view.self()) && !view.isSponsored()) {
            return Optional.of(Refusal.NOT_A_MEMBER);
        }
        HostState current = state.hosts().get(chosen.name());
        HostDefinition definition = state.configuration().merged().hosts().get(chosen.name());
        if (current == null
                || definition == null
                || current.version() != chosen.version()
                || current.move().isPresent()) {
            return Optional.of(Refusal.HOST_CHANGED);
        }
        if (definition.zone().equals(view.zone())) {
            return Optional.empty();
        }
        boolean covered = java.util.stream.Stream.of(view.logLease(), view.zoneLease())
                .flatMap(Optional::stream)
                .anyMatch(lease -> lease.covers(state.offset(), view.nowNanoseconds()));
        return covered ? Optional.empty() : Optional.of(Refusal.LEASE_LAPSED);
    }

    /** Why work may not be sent. */
    public enum Refusal {
        /** The shared state does not hold this process's membership, and nobody sponsors it. */
        NOT_A_MEMBER,
        /** The host's record is not the one that was chosen. */
        HOST_CHANGED,
        /** The view lease on the host's availability zone has lapsed. */
        LEASE_LAPSED
    }

    /**
     * What a process knows of its own standing. Immutable.
     *
     * @param self the process
     * @param zone its availability zone
     * @param isSponsored whether a member vouches for it now
     * @param logLease lease by contact with the platform log
     * @param zoneLease lease granted by a member of the host's availability zone
     * @param nowNanoseconds the monotonic clock
     */
    public record PlacementContext(
            ProcessIdentifier self,
            ZoneName zone,
            boolean isSponsored,
            Optional<ViewLease> logLease,
            Optional<ViewLease> zoneLease,
            long nowNanoseconds) {}
}
