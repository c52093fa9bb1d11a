package org.cicadalead.adapters.replica;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import org.cicadalead.logic.state.FoldResult;
import org.cicadalead.logic.state.SharedStateFold;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.state.SharedState;

/**
 * Holds the newest folded state. Readers take it without a lock; records are folded by one thread at a time, in offset
 * order. Neither its offset nor its configuration's version ever decreases. Safe for use by several threads.
 */
public final class SharedStateReplica {
    private final AtomicReference<SharedState> state = new AtomicReference<>(SharedState.empty());
    private final List<FoldListener> listeners = new CopyOnWriteArrayList<>();

    /** Returns the newest state. */
    public SharedState state() {
        return state.get();
    }

    /** Adds a listener that is called after each fold, by the folding thread. */
    public void addListener(FoldListener listener) {
        listeners.add(listener);
    }

    /** Folds one record and tells whether it was newer than the state; one that is not changes nothing. */
    public synchronized boolean apply(long offset, Optional<CommandEnvelope> envelope) {
        SharedState before = state.get();
        if (offset <= before.offset()) {
            return false;
        }
        FoldResult result = SharedStateFold.apply(before, offset, envelope);
        state.set(result.state());
        for (FoldListener listener : listeners) {
            listener.onFolded(before, result.state(), envelope, result.outcome());
        }
        return true;
    }

    /** Jumps to a state of a checkpoint or a peer and tells whether it did; one that is not newer changes nothing. */
    public synchronized boolean jumpTo(SharedState newer) {
        SharedState before = state.get();
        if (newer.offset() <= before.offset()
                || newer.configuration().version() < before.configuration().version()) {
            return false;
        }
        state.set(newer);
        for (FoldListener listener : listeners) {
            listener.onJumped(before, newer);
        }
        return true;
    }

    /** Learns of each folded record. */
    @FunctionalInterface
    public interface FoldListener {
        /** Called after a record was folded; must not block. */
        void onFolded(
                SharedState before, SharedState after, Optional<CommandEnvelope> envelope, CommandOutcome outcome);

        /** Called after the state jumped over records that this process will never see; must not block. */
        default void onJumped(SharedState before, SharedState after) {}
    }
}
