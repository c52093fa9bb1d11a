package org.cicadalead.logic.fleet;

import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.fleet.HostMoveState;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.Member;
import org.cicadalead.model.state.SharedState;

/**
 * Members whose acknowledgement a move still awaits. Members of the host's own availability zone keep their view of it
 * for as long as they run, so they are awaited without a timeout; members of other availability zones hold view leases
 * on it, which expire. Immutable.
 *
 * @param awaitedInZone members of the host's availability zone that have not acknowledged
 * @param awaitedElsewhere members of other availability zones that have not acknowledged
 */
public record MoveProgress(SortedSet<ProcessIdentifier> awaitedInZone, SortedSet<ProcessIdentifier> awaitedElsewhere) {
    /** Returns the progress of a move in a state; processes that have left are not awaited. */
    public static MoveProgress of(SharedState state, HostName host, HostMoveState move) {
        TreeSet<ProcessIdentifier> inZone = new TreeSet<>();
        TreeSet<ProcessIdentifier> elsewhere = new TreeSet<>();
        Optional<HostDefinition> definition =
                Optional.ofNullable(state.configuration().merged().hosts().get(host));
        for (ProcessIdentifier process : move.awaited().keySet()) {
            Member member = state.members().get(process);
            if (member == null) {
                continue;
            }
            boolean isInZone = definition.map(HostDefinition::zone).equals(Optional.of(member.zone()));
            (isInZone ? inZone : elsewhere).add(process);
        }
        return new MoveProgress(inZone, elsewhere);
    }

    /** Tells whether no acknowledgement is awaited any more. */
    public boolean isComplete() {
        return awaitedInZone.isEmpty() && awaitedElsewhere.isEmpty();
    }
}
