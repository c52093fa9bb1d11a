package org.cicadalead.logic.fleet;

import java.util.Optional;
import org.cicadalead.logic.capacity.BudgetLedger;
import org.cicadalead.logic.state.FoldResult;
import org.cicadalead.model.command.MaintenanceCommand;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.fleet.MaintenanceStep;
import org.cicadalead.model.state.SharedState;

/** Folds grants and steps of maintenance. Stateless; safe for use by several threads. */
public final class MaintenanceFold {
    private MaintenanceFold() {}

    /** Folds one command. */
    public static FoldResult apply(SharedState state, long offset, MaintenanceCommand command) {
        if (command instanceof MaintenanceCommand.Grant grant) {
            return grant(state, offset, grant);
        }
        return advance(state, offset, (MaintenanceCommand.Advance) command);
    }

    private static FoldResult grant(SharedState state, long offset, MaintenanceCommand.Grant grant) {
        HostState host = state.hosts().get(grant.host());
        if (host == null || host.version() != grant.hostVersion() || !host.isAvailable()) {
            return conflict(state);
        }
        Optional<String> objection = BudgetLedger.objectionToRemoval(state, host);
        if (objection.isPresent()) {
            return FoldResult.rejected(state, ErrorKind.BUDGET_EXCEEDED, objection.get());
        }
        HostState draining = host.withMaintenance(offset, MaintenanceStep.DRAINING, Optional.of(grant.wave()));
        return FoldResult.accepted(state.withHost(draining), offset);
    }

    private static FoldResult advance(SharedState state, long offset, MaintenanceCommand.Advance advance) {
        HostState host = state.hosts().get(advance.host());
        if (host == null
                || host.version() != advance.hostVersion()
                || host.wave().isEmpty()) {
            return conflict(state);
        }
        boolean finished = advance.step() == MaintenanceStep.NONE;
        HostState advanced = host.withMaintenance(offset, advance.step(), finished ? Optional.empty() : host.wave());
        return FoldResult.accepted(state.withHost(advanced), offset);
    }

    private static FoldResult conflict(SharedState state) {
        return FoldResult.rejected(state, ErrorKind.CONFLICT, "The host has changed since the command was decided");
    }
}
