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
 * Whom a move still waits for. Members of the host's own availability zone keep their view of it for as long as they
 * run, so they are waited for without limit; members of other availability zones hold view leases on it, which lapse.
 * Immutable.
 *
 * @param awaitedInZone members of the host's availability zone that have not acknowledged
 * @param awaitedElsewhere members of other availability zones that have not acknowledged
 */
public record MoveProgress(SortedSet<ProcessIdentifier> awaitedInZone, SortedSet<ProcessIdentifier> awaitedElsewhere) {
    /** Returns the progress of a move on a state; processes that have left are not waited for. */
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
            boolean near = definition.map(HostDefinition::zone).equals(Optional.of(member.zone()));
            (near ? inZone : elsewhere).add(process);
        }
        return new MoveProgress(inZone, elsewhere);
    }

    /** Tells whether nobody is waited for. */
    public boolean isComplete() {
        return awaitedInZone.isEmpty() && awaitedElsewhere.isEmpty();
    }
}
