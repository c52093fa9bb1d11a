package org.cicadalead.logic.state;

import java.util.Optional;
import org.cicadalead.logic.fleet.FleetFold;
import org.cicadalead.logic.fleet.MaintenanceFold;
import org.cicadalead.logic.job.JobFold;
import org.cicadalead.model.command.CheckpointCommand;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.ConfigurationCommand;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.command.JobCommand;
import org.cicadalead.model.command.MaintenanceCommand;
import org.cicadalead.model.command.MembershipCommand;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.state.SharedState;

/**
 * Folds records of the platform log into the shared state. The fold is pure and total: the same state, offset and
 * record give the same result in every process, and no record stops it. Stateless; safe for use by several threads.
 */
public final class SharedStateFold {
    /**
     * Offsets for which a command's identifier is remembered, so that its second copy is dropped. A command that was
     * decided on a state older than this is rejected: every copy of a forgotten command is such a one.
     */
    public static final long DUPLICATE_WINDOW_OFFSETS = 20_000;

    private SharedStateFold() {}

    /** Folds one record; an empty envelope is a record that could not be decoded. */
    public static FoldResult apply(SharedState state, long offset, Optional<CommandEnvelope> envelope) {
        if (offset <= state.offset()) {
            return new FoldResult(state, new CommandOutcome.Duplicate());
        }
        SharedState moved =
                state.withOffset(offset).withCommands(state.commands().forgetBefore(oldestRememberedOffset(offset)));
        if (envelope.isEmpty()) {
            return FoldResult.rejected(moved, ErrorKind.MALFORMED_REQUEST, "The record cannot be decoded");
        }
        CommandEnvelope command = envelope.get();
        if (moved.commands().contains(command.identifier())) {
            return new FoldResult(moved, new CommandOutcome.Duplicate());
        }
        SharedState remembered = moved.withCommands(moved.commands().remember(command.identifier(), offset));
        return findReadOffsetProblem(command, offset)
                .map(objection -> FoldResult.rejected(remembered, ErrorKind.CONFLICT, objection))
                .orElseGet(() -> dispatchSafely(remembered, offset, command.command()));
    }

    private static long oldestRememberedOffset(long offset) {
        return offset - DUPLICATE_WINDOW_OFFSETS;
    }

    /**
     * A copy of a command that is remembered no more stood before {@link #oldestRememberedOffset}, and its writer had
     * read less than that, so this check rejects it whatever the command is.
     */
    private static Optional<String> findReadOffsetProblem(CommandEnvelope command, long offset) {
        if (command.readOffset() < 0 || command.readOffset() >= offset) {
            return Optional.of("The command names the offset " + command.readOffset()
                    + " as read, which did not exist when it was written");
        }
        if (command.readOffset() < oldestRememberedOffset(offset)) {
            return Optional.of("The command was decided at offset " + command.readOffset()
                    + ", too long before its record at " + offset + "; read the state again");
        }
        return Optional.empty();
    }

    /** A fault in the fold of a command must not stop the processes that read its record; it changes nothing. */
    private static FoldResult dispatchSafely(SharedState state, long offset, Command command) {
        try {
            return dispatch(state, offset, command);
        } catch (RuntimeException fault) {
            return FoldResult.rejected(
                    state,
                    ErrorKind.INTERNAL,
                    "The command cannot be folded: " + fault.getClass().getSimpleName());
        }
    }

    private static FoldResult dispatch(SharedState state, long offset, Command command) {
        if (command instanceof CheckpointCommand checkpointCommand) {
            return CheckpointFold.apply(state, offset, checkpointCommand);
        }
        if (command instanceof ConfigurationCommand configurationCommand) {
            return ConfigurationFold.apply(state, offset, configurationCommand);
        }
        if (command instanceof MembershipCommand membershipCommand) {
            return MembershipFold.apply(state, offset, membershipCommand);
        }
        if (command instanceof FleetCommand fleetCommand) {
            return FleetFold.apply(state, offset, fleetCommand);
        }
        if (command instanceof MaintenanceCommand maintenanceCommand) {
            return MaintenanceFold.apply(state, offset, maintenanceCommand);
        }
        return JobFold.apply(state, offset, (JobCommand) command);
    }
}
