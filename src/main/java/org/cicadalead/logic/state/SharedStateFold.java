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
     * Number of offsets for which the identifier of a command is remembered, so that a duplicate is dropped. A command
     * that was decided on an older state is rejected, which covers every duplicate of a command that is no longer
     * remembered.
     */
    public static final long DUPLICATE_WINDOW_OFFSETS = 20_000;

    private SharedStateFold() {}

    /** Folds one record. An empty envelope represents a record that could not be decoded. */
    public static FoldResult apply(SharedState state, long offset, Optional<CommandEnvelope> envelope) {
        if (offset <= state.offset()) {
            return new FoldResult(state, new CommandOutcome.Duplicate());
        }
        SharedState advanced = state.withOffset(offset)
                .withCommands(state.commands().withoutCommandsBefore(oldestRememberedOffset(offset)));
        if (envelope.isEmpty()) {
            return FoldResult.rejected(advanced, ErrorKind.MALFORMED_REQUEST, "The record cannot be decoded");
        }
        CommandEnvelope command = envelope.get();
        if (advanced.commands().contains(command.identifier())) {
            return new FoldResult(advanced, new CommandOutcome.Duplicate());
        }
        SharedState remembered = advanced.withCommands(advanced.commands().remember(command.identifier(), offset));
        return findReadOffsetProblem(command, offset)
                .map(problem -> FoldResult.rejected(remembered, ErrorKind.CONFLICT, problem))
                .orElseGet(() -> dispatchSafely(remembered, offset, command.command()));
    }

    private static long oldestRememberedOffset(long offset) {
        return offset - DUPLICATE_WINDOW_OFFSETS;
    }

    /**
     * Returns why the read offset of a command is unacceptable. The first record of a command that is no longer
     * remembered precedes {@link #oldestRememberedOffset}, and its writer had read a smaller offset still, so this
     * check rejects every duplicate of it.
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

    /**
     * Rejects a command whose fold throws. An exception must not stop the processes that read the record, and the
     * command changes nothing.
     */
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
