package org.cicadalead.logic.state;

import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.state.SharedState;

/**
 * Result of folding one command: the new state and the outcome of the command. Immutable.
 *
 * @param state the state after the command
 * @param outcome the outcome of the command
 */
public record FoldResult(SharedState state, CommandOutcome outcome) {
    /** Returns the result of a command that took effect. */
    public static FoldResult accepted(SharedState state, long offset) {
        return new FoldResult(state, new CommandOutcome.Accepted(offset));
    }

    /** Returns the result of a command that was rejected and changed nothing. */
    public static FoldResult rejected(SharedState state, ErrorKind kind, String detail) {
        return new FoldResult(state, new CommandOutcome.Rejected(kind, detail));
    }
}
