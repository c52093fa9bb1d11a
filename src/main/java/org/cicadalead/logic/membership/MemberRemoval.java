package org.cicadalead.logic.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cicadalead.model.command.MembershipCommand;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.Member;
import org.cicadalead.model.state.SharedState;

/**
 * Decides which members that ended without leaving are removed. Only members of the same availability zone remove one,
 * as they share its network, and only on evidence that the process has ended: silence is no evidence, a silent member
 * may be cut off and serving. Stateless; safe for use by several threads.
 */
public final class MemberRemoval {
    /** How much longer each next member waits with a removal that another one may append. */
    public static final Duration RANK_DELAY = Duration.ofSeconds(2);

    private MemberRemoval() {}

    /** Returns the removals that a process appends now. */
    public static List<MembershipCommand.Leave> decide(
            SharedState state,
            ProcessIdentifier self,
            Map<ProcessIdentifier, EvidenceHistory> histories,
            long nowNanoseconds) {
        List<MembershipCommand.Leave> removals = new ArrayList<>();
        Member own = state.members().get(self);
        if (own == null) {
            return removals;
        }
        long delay = rank(state, own) * RANK_DELAY.toNanos();
        for (Member member : state.members().values()) {
            EvidenceHistory history = histories.get(member.process());
            if (history != null
                    && member.zone().equals(own.zone())
                    && !member.process().equals(self)
                    && history.showsEnd(nowNanoseconds - delay)) {
                removals.add(new MembershipCommand.Leave(member.process(), member.version()));
            }
        }
        return removals;
    }

    private static long rank(SharedState state, Member own) {
        return state.members().values().stream()
                .filter(member -> member.zone().equals(own.zone()))
                .filter(member -> member.process().compareTo(own.process()) < 0)
                .count();
    }
}
