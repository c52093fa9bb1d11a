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
 * Decides which members that ended without leaving are removed, on evidence that the process has ended: silence is no
 * evidence, a silent member may be cut off and serving. Members of the same availability zone do it, as they share its
 * network; when nobody of that zone is heard of, members of other zones do it after a longer time, since what waits for
 * a member would otherwise wait for ever. Stateless; safe for use by several threads.
 */
public final class MemberRemoval {
    /** How much longer each next member waits with a removal that another one may append. */
    public static final Duration RANK_DELAY = Duration.ofSeconds(2);

    /** How much longer members of other availability zones wait. */
    public static final Duration OTHER_ZONE_DELAY = ObservationHistory.CONFIRMATION_TIME;

    private MemberRemoval() {}

    /**
     * Returns the removals that a process appends now.
     *
     * @param heard members that are heard of in time
     * @param histories evidence on the others
     */
    public static List<MembershipCommand.Leave> decide(
            SharedState state,
            ProcessIdentifier self,
            Set<ProcessIdentifier> heard,
            Map<ProcessIdentifier, ObservationHistory> histories,
            long nowNanoseconds) {
        List<MembershipCommand.Leave> removals = new ArrayList<>();
        Member own = state.members().get(self);
        if (own == null) {
            return removals;
        }
        Set<ZoneName> watchedZones = state.members().values().stream()
                .filter(member -> heard.contains(member.process()))
                .map(Member::zone)
                .collect(Collectors.toSet());
        watchedZones.add(own.zone());
        for (Member member : state.members().values()) {
            ObservationHistory history = histories.get(member.process());
            boolean near = member.zone().equals(own.zone());
            if (history == null || member.process().equals(self) || (!near && watchedZones.contains(member.zone()))) {
                continue;
            }
            long delay = computeRank(state, own, near, heard) * RANK_DELAY.toNanos()
                    + (near ? 0 : OTHER_ZONE_DELAY.toNanos());
            if (history.isEndConfirmed(nowNanoseconds - delay)) {
                removals.add(new MembershipCommand.Leave(member.process(), member.version()));
            }
        }
        return removals;
    }

    private static long computeRank(SharedState state, Member own, boolean inZone, Set<ProcessIdentifier> heard) {
        return state.members().values().stream()
                .filter(member -> !inZone || member.zone().equals(own.zone()))
                .filter(member -> heard.contains(member.process()))
                .filter(member -> member.process().compareTo(own.process()) < 0)
                .count();
    }
}
