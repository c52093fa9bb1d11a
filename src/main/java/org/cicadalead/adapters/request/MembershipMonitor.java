package org.cicadalead.adapters.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.cicadalead.adapters.replica.SharedStateReplica.FoldListener;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.SharedState;

/**
 * Keeps every set of members that was folded, however short it lasted, and whether a process may have left unseen: what
 * that one knew of idempotency keys is lost. Safe for use by several threads.
 */
public final class MembershipMonitor implements FoldListener {
    private final ProcessIdentifier self;
    private final Queue<MemberChange> changes = new ConcurrentLinkedQueue<>();

    /** Creates the watch; to be added to the replica before its first fold. */
    public MembershipMonitor(ProcessIdentifier self) {
        this.self = self;
    }

    /** Returns the changes since the last call, in order. */
    public List<MemberChange> drainChanges() {
        List<MemberChange> taken = new ArrayList<>();
        for (MemberChange change = changes.poll(); change != null; change = changes.poll()) {
            taken.add(change);
        }
        return taken;
    }

    @Override
    public void onFolded(
            SharedState before, SharedState after, Optional<CommandEnvelope> envelope, CommandOutcome outcome) {
        if (hasSameMembers(before, after) && before.offset() > 0) {
            return;
        }
        boolean startsLate = before.offset() == 0 && after.offset() > 1;
        boolean leftBeforeJoin = !before.members().containsKey(self)
                && !after.members().keySet().containsAll(before.members().keySet());
        boolean gap = startsLate || leftBeforeJoin;
        if (gap || !before.members().keySet().equals(after.members().keySet())) {
            changes.add(new MemberChange(Set.copyOf(after.members().keySet()), gap));
        }
    }

    @Override
    public void onJumped(SharedState before, SharedState after) {
        changes.add(new MemberChange(Set.copyOf(after.members().keySet()), true));
    }

    /** The members are a persistent map, so that an unchanged one is the same object. */
    @SuppressWarnings("ReferenceEquality")
    private static boolean hasSameMembers(SharedState before, SharedState after) {
        return before.members() == after.members();
    }

    /**
     * A change of the members. Immutable.
     *
     * @param members the members after it
     * @param gap whether processes may have left before it that were never seen here
     */
    public record MemberChange(Set<ProcessIdentifier> members, boolean gap) {}
}
