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
 * Holds the newest folded state. Readers access it without a lock; records are folded by one thread at a time, in the
 * order of offsets. Neither the offset of the state nor the version of its configuration ever decreases. Safe for use
 * by several threads.
 */
public final class SharedStateReplica {
    private final AtomicReference<SharedState> state = new AtomicReference<>(SharedState.empty());
    private final List<FoldListener> listeners = new CopyOnWriteArrayList<>();

    /** Returns the newest state. */
    public SharedState state() {
        return state.get();
    }

    /** Adds a listener that the folding thread calls after each fold. */
    public void addListener(FoldListener listener) {
        listeners.add(listener);
    }

    /** Folds one record and returns whether it was newer than the state; an older record changes nothing. */
    public synchronized boolean apply(long offset, Optional<CommandEnvelope> envelope) {
        SharedState previous = state.get();
        if (offset <= previous.offset()) {
            return false;
        }
        FoldResult result = SharedStateFold.apply(previous, offset, envelope);
        state.set(result.state());
        for (FoldListener listener : listeners) {
            listener.onFolded(previous, result.state(), envelope, result.outcome());
        }
        return true;
    }

    /**
     * Jumps to the state of a checkpoint or a peer and returns whether it did; a state that is not newer changes
     * nothing.
     */
    public synchronized boolean jumpTo(SharedState newerState) {
        SharedState previous = state.get();
        if (newerState.offset() <= previous.offset()
                || newerState.configuration().version()
                        < previous.configuration().version()) {
            return false;
        }
        state.set(newerState);
        for (FoldListener listener : listeners) {
            listener.onJumped(previous, newerState);
        }
        return true;
    }

    /** Is notified of every change of the replica. */
    @FunctionalInterface
    public interface FoldListener {
        /** Handles a folded record; must not block. */
        void onFolded(
                SharedState previous, SharedState current, Optional<CommandEnvelope> envelope, CommandOutcome outcome);

        /** Handles a jump of the state over records that this process will never read; must not block. */
        default void onJumped(SharedState previous, SharedState current) {}
    }
}
