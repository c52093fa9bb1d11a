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

    /** Returns why work may not be sent, or empty if it may. */
    public static Optional<Refusal> findRefusal(SharedState state, HostState chosen, PlacementContext context) {
        if (!state.members().containsKey(context.self()) && !context.isSponsored()) {
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
        if (definition.zone().equals(context.zone())) {
            return Optional.empty();
        }
        boolean hasValidLease = java.util.stream.Stream.of(context.logLease(), context.zoneLease())
                .flatMap(Optional::stream)
                .anyMatch(lease -> lease.covers(state.offset(), context.nowNanoseconds()));
        return hasValidLease ? Optional.empty() : Optional.of(Refusal.LEASE_LAPSED);
    }

    /** The reason why work may not be sent to a host. */
    public enum Refusal {
        /** The shared state does not contain this process as a member, and no member sponsors it. */
        NOT_A_MEMBER,
        /** The host was removed, has changed since it was chosen, or is moving. */
        HOST_CHANGED,
        /** The view lease on the host's availability zone has expired. */
        LEASE_LAPSED
    }

    /**
     * What a process knows about its own membership and view leases. Immutable.
     *
     * @param self the process
     * @param zone its availability zone
     * @param isSponsored whether a member currently sponsors it
     * @param logLease view lease obtained by contact with the platform log
     * @param zoneLease view lease granted by a member of the host's availability zone
     * @param nowNanoseconds current time of the monotonic clock
     */
    public record PlacementContext(
            ProcessIdentifier self,
            ZoneName zone,
            boolean isSponsored,
            Optional<ViewLease> logLease,
            Optional<ViewLease> zoneLease,
            long nowNanoseconds) {}
}
