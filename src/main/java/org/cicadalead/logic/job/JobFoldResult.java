package org.cicadalead.logic.job;

import java.util.List;
import org.cicadalead.logic.state.FoldResult;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.state.SharedState;

/**
 * The state after a command on jobs, and the outcome of each entry of the command. Immutable.
 *
 * @param state state after the command
 * @param outcomes one outcome per entry, in the order of the entries
 */
public record JobFoldResult(SharedState state, List<CommandOutcome> outcomes) {
    /** Copies the list. */
    public JobFoldResult {
        outcomes = List.copyOf(outcomes);
    }

    /** Returns the outcome of the whole command: accepted if any entry was accepted, otherwise the first rejection. */
    FoldResult summary(long offset) {
        for (CommandOutcome outcome : outcomes) {
            if (outcome instanceof CommandOutcome.Accepted) {
                return FoldResult.accepted(state, offset);
            }
        }
        return outcomes.isEmpty() ? FoldResult.accepted(state, offset) : new FoldResult(state, outcomes.get(0));
    }
}
