package org.cicadalead.logic.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cicadalead.model.command.MembershipCommand;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.state.Member;
import org.cicadalead.model.state.SharedState;

/**
 * Decides which members to remove because their process ended without leaving. This requires observations that the
 * process has ended: an unresponsive member may be cut off and still serving. Members of the same availability zone
 * remove it, as they share its network. If no member of that zone is reachable, members of other zones remove it after
 * a longer delay, since moves that wait for the member would otherwise never finish. Stateless; safe for use by several
 * threads.
 */
public final class MemberRemoval {
    /** Additional delay for each reachable member with a lower identifier, which may append the same removal. */
    public static final Duration RANK_DELAY = Duration.ofSeconds(2);

    /** Additional delay for members of other availability zones. */
    public static final Duration OTHER_ZONE_DELAY = ObservationHistory.CONFIRMATION_TIME;

    private MemberRemoval() {}

    /**
     * Returns the removals that a process should append now.
     *
     * @param reachable members whose last heartbeat is recent enough
     * @param histories observations of members whose heartbeats are missing
     */
    public static List<MembershipCommand.Leave> decide(
            SharedState state,
            ProcessIdentifier self,
            Set<ProcessIdentifier> reachable,
            Map<ProcessIdentifier, ObservationHistory> histories,
            long nowNanoseconds) {
        List<MembershipCommand.Leave> removals = new ArrayList<>();
        Member own = state.members().get(self);
        if (own == null) {
            return removals;
        }
        Set<ZoneName> reachableZones = state.members().values().stream()
                .filter(member -> reachable.contains(member.process()))
                .map(Member::zone)
                .collect(Collectors.toSet());
        reachableZones.add(own.zone());
        for (Member member : state.members().values()) {
            ObservationHistory history = histories.get(member.process());
            boolean isInOwnZone = member.zone().equals(own.zone());
            if (history == null
                    || member.process().equals(self)
                    || (!isInOwnZone && reachableZones.contains(member.zone()))) {
                continue;
            }
            long delay = computeRank(state, own, isInOwnZone, reachable) * RANK_DELAY.toNanos()
                    + (isInOwnZone ? 0 : OTHER_ZONE_DELAY.toNanos());
            if (history.isEndConfirmed(nowNanoseconds - delay)) {
                removals.add(new MembershipCommand.Leave(member.process(), member.version()));
            }
        }
        return removals;
    }

    private static long computeRank(
            SharedState state, Member own, boolean onlyOwnZone, Set<ProcessIdentifier> reachable) {
        return state.members().values().stream()
                .filter(member -> !onlyOwnZone || member.zone().equals(own.zone()))
                .filter(member -> reachable.contains(member.process()))
                .filter(member -> member.process().compareTo(own.process()) < 0)
                .count();
    }
}
