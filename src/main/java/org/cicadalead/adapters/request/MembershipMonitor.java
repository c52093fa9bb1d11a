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
 * Records every set of members that was folded, however short-lived, and whether a process may have left unnoticed, in
 * which case its idempotency keys are lost. Safe for use by several threads.
 */
public final class MembershipMonitor implements FoldListener {
    private final ProcessIdentifier self;
    private final Queue<MemberChange> changes = new ConcurrentLinkedQueue<>();

    /** Creates the monitor. Must be added to the replica before its first fold. */
    public MembershipMonitor(ProcessIdentifier self) {
        this.self = self;
    }

    /** Removes and returns the changes since the last call, in order. */
    public List<MemberChange> drainChanges() {
        List<MemberChange> drained = new ArrayList<>();
        for (MemberChange change = changes.poll(); change != null; change = changes.poll()) {
            drained.add(change);
        }
        return drained;
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

    /** Compares by reference, as the members are a persistent map and an unchanged map is the same object. */
    @SuppressWarnings("ReferenceEquality")
    private static boolean hasSameMembers(SharedState before, SharedState after) {
        return before.members() == after.members();
    }

    /**
     * A change of the members. Immutable.
     *
     * @param members the members after the change
     * @param gap whether processes that this process never saw may have left before the change
     */
    public record MemberChange(Set<ProcessIdentifier> members, boolean gap) {}
}
