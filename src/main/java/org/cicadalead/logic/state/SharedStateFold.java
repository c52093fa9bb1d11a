package org.cicadalead.logic.state;

import java.util.Optional;
import org.cicadalead.logic.fleet.FleetFold;
import org.cicadalead.logic.fleet.MaintenanceFold;
import org.cicadalead.logic.job.JobFold;
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
    /** Offsets for which a command's identifier is remembered, so that its second copy is dropped. */
    public static final long DUPLICATE_WINDOW_OFFSETS = 50_000;

    private SharedStateFold() {}

    /** Folds one record; an empty envelope is a record that could not be decoded. */
    public static FoldResult apply(SharedState state, long offset, Optional<CommandEnvelope> envelope) {
        if (offset <= state.offset()) {
            return new FoldResult(state, new CommandOutcome.Duplicate());
        }
        SharedState moved = state.withOffset(offset);
        if (envelope.isEmpty()) {
            return FoldResult.rejected(moved, ErrorKind.MALFORMED_REQUEST, "The record cannot be decoded");
        }
        CommandEnvelope command = envelope.get();
        if (state.commands().containsKey(command.identifier())) {
            return new FoldResult(moved, new CommandOutcome.Duplicate());
        }
        return dispatch(remember(moved, command, offset), offset, command.command());
    }

    private static SharedState remember(SharedState state, CommandEnvelope command, long offset) {
        return state.withCommands(state.commands().plus(command.identifier(), offset));
    }

    private static FoldResult dispatch(SharedState state, long offset, Command command) {
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
