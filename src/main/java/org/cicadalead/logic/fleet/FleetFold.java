package org.cicadalead.logic.fleet;

import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
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
import org.cicadalead.model.state.SharedState;

/**
 * Folds commands that observe hosts or move them between pools. A host changes its pool only by an assignment. An
 * assignment needs the acknowledgement of every process that was a member at the withdrawal, except members that have
 * left since and members of other availability zones whose view leases have expired. Stateless; safe for use by several
 * threads.
 */
public final class FleetFold {
    private FleetFold() {}

    /** Applies one command to a state. */
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
        if (command instanceof FleetCommand.RebootForMove reboot) {
            return reboot(state, offset, reboot);
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
            return rejectAsConflict(state);
        }
        if (!state.configuration().merged().pools().containsKey(withdraw.destination())
                || host.pool().equals(withdraw.destination())
                || host.maintenance() != MaintenanceStep.NONE) {
            return FoldResult.rejected(state, ErrorKind.CONFLICT, "The host cannot go to that pool now");
        }
        Optional<String> reason = BudgetLedger.findBudgetViolationAfterRemoval(state, host);
        if (reason.isPresent()) {
            return FoldResult.rejected(state, ErrorKind.BUDGET_EXCEEDED, reason.get());
        }
        HostMoveState move = HostDeclaration.createMove(state, offset, withdraw.destination());
        return FoldResult.accepted(state.withHost(host.withMove(offset, Optional.of(move))), offset);
    }

    private static FoldResult acknowledge(SharedState state, long offset, FleetCommand.Acknowledge acknowledge) {
        SharedState changed = state;
        for (HostMove hostMove : acknowledge.hosts()) {
            HostState host = state.hosts().get(hostMove.host());
            Optional<HostMoveState> updatedMove = findCurrentMove(state, hostMove)
                    .filter(move -> move.awaited().containsKey(acknowledge.process()))
                    .map(move -> move.withAcknowledgementBy(acknowledge.process()));
            if (updatedMove.isPresent()) {
                changed = changed.withHost(host.withMove(offset, updatedMove));
            }
        }
        return changed.equals(state) ? rejectAsConflict(state) : FoldResult.accepted(changed, offset);
    }

    /** Assigns each host whose move awaits no further acknowledgement; the others stay withdrawn. */
    private static FoldResult assign(SharedState state, long offset, FleetCommand.Assign assign) {
        SharedState changed = state;
        Optional<String> reason = Optional.empty();
        for (HostMove hostMove : assign.moves()) {
            Optional<String> hostReason = findReasonAgainstAssignment(state, hostMove, assign.lapsed());
            if (hostReason.isPresent()) {
                reason = hostReason;
                continue;
            }
            HostState host = state.hosts().get(hostMove.host());
            changed = changed.withHost(
                    host.withPool(offset, host.move().orElseThrow().destination()));
        }
        return changed.equals(state)
                ? FoldResult.rejected(state, ErrorKind.CONFLICT, reason.orElse("No move is named"))
                : FoldResult.accepted(changed, offset);
    }

    private static FoldResult reboot(SharedState state, long offset, FleetCommand.RebootForMove reboot) {
        SharedState changed = state;
        for (HostMove hostMove : reboot.moves()) {
            Optional<HostMoveState> move = findCurrentMove(state, hostMove).filter(current -> !current.rebooting());
            if (move.isPresent()
                    && findReasonAgainstAssignment(state, hostMove, reboot.lapsed())
                            .isEmpty()) {
                HostState host = state.hosts().get(hostMove.host());
                changed = changed.withHost(
                        host.withMove(offset, Optional.of(move.get().withRebootAt(offset))));
            }
        }
        return changed.equals(state) ? rejectAsConflict(state) : FoldResult.accepted(changed, offset);
    }

    private static Optional<String> findReasonAgainstAssignment(
            SharedState state, HostMove hostMove, List<ProcessIdentifier> lapsed) {
        Optional<HostMoveState> move = findCurrentMove(state, hostMove);
        if (move.isEmpty()) {
            return Optional.of("The host has changed since the command was decided");
        }
        if (!state.configuration().merged().pools().containsKey(move.get().destination())) {
            return Optional.of("The pool '" + move.get().destination() + "' is not configured any more");
        }
        MoveProgress progress = MoveProgress.of(state, hostMove.host(), move.get());
        TreeSet<ProcessIdentifier> missing = new TreeSet<>(progress.awaitedElsewhere());
        lapsed.forEach(missing::remove);
        missing.addAll(progress.awaitedInZone());
        return missing.isEmpty() ? Optional.empty() : Optional.of("Members have not acknowledged: " + missing);
    }

    /** Cancels a move. A host that is still entering its first pool has no other pool to return to. */
    private static FoldResult cancel(SharedState state, long offset, FleetCommand.CancelMove cancel) {
        Optional<HostMoveState> move = findCurrentMove(state, cancel.move());
        if (move.isEmpty()) {
            return rejectAsConflict(state);
        }
        HostState host = state.hosts().get(cancel.move().host());
        if (move.get().rebooting()
                && state.configuration().merged().pools().containsKey(move.get().destination())) {
            return FoldResult.rejected(
                    state, ErrorKind.CONFLICT, "The host is being rebooted for its move; move it back afterwards");
        }
        if (host.pool().equals(move.get().destination())
                || !state.configuration().merged().pools().containsKey(host.pool())) {
            return FoldResult.rejected(state, ErrorKind.CONFLICT, "The host has no other pool to stay in");
        }
        return FoldResult.accepted(state.withHost(host.withMove(offset, Optional.empty())), offset);
    }

    private static Optional<HostMoveState> findCurrentMove(SharedState state, HostMove hostMove) {
        return Optional.ofNullable(state.hosts().get(hostMove.host()))
                .flatMap(HostState::move)
                .filter(move -> move.version() == hostMove.moveVersion());
    }

    private static FoldResult rejectAsConflict(SharedState state) {
        return FoldResult.rejected(state, ErrorKind.CONFLICT, "The host has changed since the command was decided");
    }
}
