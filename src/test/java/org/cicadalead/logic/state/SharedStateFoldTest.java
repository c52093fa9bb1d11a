package org.cicadalead.logic.state;

import static org.cicadalead.support.Commands.change;
import static org.cicadalead.support.Commands.envelope;
import static org.cicadalead.support.Commands.publish;
import static org.cicadalead.support.Commands.removal;
import static org.cicadalead.support.Commands.team;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.CommandIdentifier;
import org.cicadalead.model.state.SharedState;
import org.junit.jupiter.api.Test;

class SharedStateFoldTest {
    private static final String FILE = "kitchens.toml";

    @Test
    void dropsDuplicateCommand() {
        Optional<CommandEnvelope> command = envelope("a", 0, publish(change(team(FILE, 1), 0)));
        FoldResult first = SharedStateFold.apply(SharedState.empty(), 1, command);
        FoldResult second = SharedStateFold.apply(first.state(), 2, command);
        assertEquals(new CommandOutcome.Duplicate(), second.outcome());
        assertEquals(first.state().withOffset(2), second.state());
    }

    @Test
    void rejectsDuplicateAfterWindowWhenVersionsMatchAgain() {
        Optional<CommandEnvelope> command = envelope("a", 0, publish(change(team(FILE, 1), 0)));
        SharedState state =
                SharedStateFold.apply(SharedState.empty(), 1, command).state();
        state = SharedStateFold.apply(state, 2, envelope("b", 1, publish(removal(FILE, 1))))
                .state();
        long offsetAfterWindow = SharedStateFold.DUPLICATE_WINDOW_OFFSETS + 2;
        FoldResult duplicate = SharedStateFold.apply(state, offsetAfterWindow, command);
        assertFalse(state.commands().withoutCommandsBefore(offsetAfterWindow).contains(new CommandIdentifier("a")));
        assertEquals(ErrorKind.CONFLICT, requireRejected(duplicate).kind());
        assertTrue(duplicate.state().configuration().units().isEmpty());
    }

    @Test
    void remembersCommandForWholeWindow() {
        Optional<CommandEnvelope> command = envelope("a", 0, publish(change(team(FILE, 1), 0)));
        SharedState state =
                SharedStateFold.apply(SharedState.empty(), 1, command).state();
        FoldResult duplicate = SharedStateFold.apply(state, SharedStateFold.DUPLICATE_WINDOW_OFFSETS + 1, command);
        assertEquals(new CommandOutcome.Duplicate(), duplicate.outcome());
    }

    @Test
    void rejectsCommandWithFutureReadOffset() {
        FoldResult result =
                SharedStateFold.apply(SharedState.empty(), 1, envelope("a", 1, publish(change(team(FILE, 1), 0))));
        assertEquals(ErrorKind.CONFLICT, requireRejected(result).kind());
    }

    @Test
    void rejectsUndecodableRecordAndContinues() {
        FoldResult result = SharedStateFold.apply(SharedState.empty(), 1, Optional.empty());
        assertEquals(ErrorKind.MALFORMED_REQUEST, requireRejected(result).kind());
        assertEquals(SharedState.empty().withOffset(1), result.state());
    }

    @Test
    void reportsCurrentVersionOfEveryConflictingFile() {
        SharedState state = SharedStateFold.apply(
                        SharedState.empty(),
                        1,
                        envelope("a", 0, publish(change(team(FILE, 1), 0), change(team("vans.toml", 1), 0))))
                .state();
        FoldResult outdated = SharedStateFold.apply(
                state, 2, envelope("b", 0, publish(change(team(FILE, 2), 0), change(team("vans.toml", 2), 0))));
        assertEquals(ErrorKind.CONFLICT, requireRejected(outdated).kind());
        assertTrue(requireRejected(outdated).detail().contains("'kitchens.toml' has version 1"));
        assertTrue(requireRejected(outdated).detail().contains("'vans.toml' has version 1"));
    }

    @Test
    void reportsEveryProblemOfInvalidMerge() {
        FoldResult result = SharedStateFold.apply(
                SharedState.empty(),
                1,
                envelope(
                        "a",
                        0,
                        publish(change(
                                org.cicadalead.support.Commands.unit(
                                        FILE, "[[pool]]\nname = \"p\"\nhosts = [\"one\", \"two\"]\n"),
                                0))));
        assertTrue(requireRejected(result).detail().contains("'one'"));
        assertTrue(requireRejected(result).detail().contains("'two'"));
    }

    private static CommandOutcome.Rejected requireRejected(FoldResult result) {
        return assertInstanceOf(CommandOutcome.Rejected.class, result.outcome());
    }
}
