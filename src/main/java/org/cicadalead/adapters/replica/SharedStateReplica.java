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
 * order. Its offset never decreases. Safe for use by several threads.
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

    /** Folds one record; one that is not newer than the state changes nothing. */
    public synchronized void apply(long offset, Optional<CommandEnvelope> envelope) {
        SharedState before = state.get();
        if (offset <= before.offset()) {
            return;
        }
        FoldResult result = SharedStateFold.apply(before, offset, envelope);
        state.set(result.state());
        for (FoldListener listener : listeners) {
            listener.onFolded(before, result.state(), envelope, result.outcome());
        }
    }

    /** Learns of each folded record. */
    @FunctionalInterface
    public interface FoldListener {
        /** Called after a record was folded; must not block. */
        void onFolded(
                SharedState before, SharedState after, Optional<CommandEnvelope> envelope, CommandOutcome outcome);
    }
}
