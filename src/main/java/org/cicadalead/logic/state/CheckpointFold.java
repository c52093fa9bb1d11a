package org.cicadalead.logic.state;

import java.util.Optional;
import org.cicadalead.model.command.CheckpointCommand;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.state.CheckpointState;
import org.cicadalead.model.state.CheckpointState.OpenCheckpoint;
import org.cicadalead.model.state.SharedState;

/**
 * Folds checkpoint commands. A checkpoint is complete once all its parts are stored in the log in order. One that was
 * overtaken by another checkpoint or lacks a part changes nothing but the state of checkpoints. Stateless; safe for use
 * by several threads.
 */
final class CheckpointFold {
    private CheckpointFold() {}

    static FoldResult apply(SharedState state, long offset, CheckpointCommand command) {
        if (command instanceof CheckpointCommand.Begin begin) {
            return begin(state, offset, begin);
        }
        return appendPart(state, offset, (CheckpointCommand.Part) command);
    }

    private static FoldResult begin(SharedState state, long offset, CheckpointCommand.Begin begin) {
        CheckpointState checkpoint = state.checkpoint();
        if (checkpoint.version() != begin.checkpointVersion()) {
            return FoldResult.rejected(
                    state, ErrorKind.CONFLICT, "Another checkpoint was begun at offset " + checkpoint.version());
        }
        return FoldResult.accepted(
                state.withCheckpoint(checkpoint.begin(offset, begin.writtenAtMilliseconds())), offset);
    }

    private static FoldResult appendPart(SharedState state, long offset, CheckpointCommand.Part part) {
        Optional<OpenCheckpoint> open = state.checkpoint().open().filter(candidate -> isNextPart(candidate, part));
        if (open.isEmpty()) {
            return FoldResult.rejected(
                    state, ErrorKind.CONFLICT, "The part does not continue the checkpoint that is open");
        }
        OpenCheckpoint advanced = new OpenCheckpoint(
                part.basis(), open.get().writtenAtMilliseconds(), part.index() + 1, part.count(), part.digest());
        CheckpointState checkpoint = advanced.nextIndex() == advanced.count()
                ? state.checkpoint().complete(advanced, offset)
                : state.checkpoint().advance(advanced);
        return FoldResult.accepted(state.withCheckpoint(checkpoint), offset);
    }

    private static boolean isNextPart(OpenCheckpoint open, CheckpointCommand.Part part) {
        if (open.basis() != part.basis() || open.nextIndex() != part.index() || part.index() >= part.count()) {
            return false;
        }
        if (part.index() == 0) {
            return true;
        }
        return open.count() == part.count() && open.digest().equals(part.digest());
    }
}
