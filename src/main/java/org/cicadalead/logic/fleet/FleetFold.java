package org.cicadalead.logic.fleet;

import java.util.Optional;
import org.cicadalead.logic.capacity.BudgetLedger;
import org.cicadalead.logic.state.FoldResult;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.command.FleetCommand.HostMove;
import org.cicadalead.model.command.FleetCommand.HostObservation;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.fleet.HostMoveState;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.fleet.MaintenanceStep;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.Member;
import org.cicadalead.model.state.SharedState;
import org.pcollections.TreePMap;

/**
 * Folds observations of hosts and moves between pools. A host changes its pool only by an assignment, which needs the
 * acknowledgement of every process that was a member at the withdrawal. Stateless; safe for use by several threads.
 */
public final class FleetFold {
    private FleetFold() {}

    /** Folds one command. */
    public static FoldResult apply(SharedState state, long offset, FleetCommand command) {
        if (command instanceof FleetCommand.Observe observe) {
            return observe(state, offset, observe);
        }
        if (command instanceof FleetCommand.Withdraw withdraw) {
            return withdraw(state, offset, withdraw);
        }
        if (command instanceof FleetCommand.Acknowledge acknowledge) {
            return acknowledge(state, offset, acknowledge);
        }
        if (command instanceof FleetCommand.Assign assign) {
            return assign(state, offset, assign);
        }
        return cancel(state, offset, (FleetCommand.CancelMove) command);
    }

    private static FoldResult observe(SharedState state, long offset, FleetCommand.Observe observe) {
        SharedState changed = state;
        for (HostObservation observation : observe.observations()) {
            HostState host = state.hosts().get(observation.host());
            if (host != null && host.version() == observation.hostVersion()) {
                changed = changed.withHost(host.withHealth(offset, observation.health()));
            }
        }
        return FoldResult.accepted(changed, offset);
    }

    private static FoldResult withdraw(SharedState state, long offset, FleetCommand.Withdraw withdraw) {
        HostState host = state.hosts().get(withdraw.host());
        if (host == null
                || host.version() != withdraw.hostVersion()
                || host.move().isPresent()) {
            return conflict(state);
        }
        if (!state.configuration().merged().pools().containsKey(withdraw.destination())
                || host.pool().equals(withdraw.destination())
                || host.maintenance() != MaintenanceStep.NONE) {
            return FoldResult.rejected(state, ErrorKind.CONFLICT, "The host cannot go to that pool now");
        }
        Optional<String> objection =
                host.isAvailable() ? BudgetLedger.objectionToRemoval(state, host) : Optional.empty();
        if (objection.isPresent()) {
            return FoldResult.rejected(state, ErrorKind.BUDGET_EXCEEDED, objection.get());
        }
        TreePMap<ProcessIdentifier, Long> awaited = TreePMap.empty();
        for (Member member : state.members().values()) {
            awaited = awaited.plus(member.process(), member.version());
        }
        HostMoveState move = new HostMoveState(offset, withdraw.destination(), awaited);
        return FoldResult.accepted(state.withHost(host.withMove(offset, Optional.of(move))), offset);
    }

    private static FoldResult acknowledge(SharedState state, long offset, FleetCommand.Acknowledge acknowledge) {
        SharedState changed = state;
        for (HostMove named : acknowledge.hosts()) {
            HostState host = state.hosts().get(named.host());
            Optional<HostMoveState> move = currentMove(state, named);
            if (move.isPresent()) {
                HostMoveState rest = new HostMoveState(
                        move.get().version(),
                        move.get().destination(),
                        move.get().awaited().minus(acknowledge.process()));
                changed = changed.withHost(host.withMove(offset, Optional.of(rest)));
            }
        }
        return FoldResult.accepted(changed, offset);
    }

    private static FoldResult assign(SharedState state, long offset, FleetCommand.Assign assign) {
        Optional<HostMoveState> move = currentMove(state, assign.move());
        if (move.isEmpty()) {
            return conflict(state);
        }
        if (move.get().awaited().keySet().stream().anyMatch(state.members()::containsKey)) {
            return FoldResult.rejected(
                    state,
                    ErrorKind.CONFLICT,
                    "Members have not acknowledged: " + move.get().awaited().keySet());
        }
        HostState host = state.hosts().get(assign.move().host());
        return FoldResult.accepted(state.withHost(host.inPool(offset, move.get().destination())), offset);
    }

    private static FoldResult cancel(SharedState state, long offset, FleetCommand.CancelMove cancel) {
        if (currentMove(state, cancel.move()).isEmpty()) {
            return conflict(state);
        }
        HostState host = state.hosts().get(cancel.move().host());
        return FoldResult.accepted(state.withHost(host.withMove(offset, Optional.empty())), offset);
    }

    private static Optional<HostMoveState> currentMove(SharedState state, HostMove named) {
        return Optional.ofNullable(state.hosts().get(named.host()))
                .flatMap(HostState::move)
                .filter(move -> move.version() == named.moveVersion());
    }

    private static FoldResult conflict(SharedState state) {
        return FoldResult.rejected(state, ErrorKind.CONFLICT, "The host has changed since the command was decided");
    }
}
