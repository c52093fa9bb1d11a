package org.cicadalead.logic.planning;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.command.MaintenanceCommand;
import org.cicadalead.model.command.MaintenanceCommand.Drain;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.fleet.MaintenanceStep;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.SharedState;

/**
 * Runs all planners once, in order of urgency: maintenance steps, moves between pools, grants, the routine schedule.
 * Moves come before grants, so that a host that a promise needs is not granted. Stateless; safe for use by several
 * threads.
 */
public final class PlanningCycle {
    private PlanningCycle() {}

    /** Plans the commands that any process may append. */
    public static List<Decision> plan(PlanningInput input) {
        List<Decision> decisions = new ArrayList<>(MaintenanceSteps.plan(input));
        List<Decision> moves = CapacityPlanner.plan(input);
        decisions.addAll(moves);
        PlanningInput afterMoves = input.withState(withoutMovingHosts(input.state(), moves));
        decisions.addAll(MaintenancePlanner.plan(afterMoves));
        decisions.addAll(RoutineSchedule.plan(input.state(), input.nowMilliseconds()));
        return decisions;
    }

    /** Plans the command that only this process may append: the confirmation of its drains. */
    public static List<Decision> planDrainConfirmations(
            SharedState state, ProcessIdentifier process, Set<HostName> idleHosts) {
        List<Drain> drains = MaintenanceSteps.findDrainsToConfirm(state, process, idleHosts);
        if (drains.isEmpty()) {
            return List.of();
        }
        return List.of(Decision.toAppend(
                new MaintenanceCommand.ConfirmDrain(process, drains),
                EventKind.DRAIN_CONFIRMED,
                drains.get(0).wave(),
                EventDetail.of("hosts", drains.stream().map(Drain::host).toList()),
                EventDetail.of("offset", state.offset())));
    }

    /**
     * Returns the state in which the hosts that this cycle withdraws count as unavailable already, so that grants take
     * account of them.
     */
    private static SharedState withoutMovingHosts(SharedState state, List<Decision> moves) {
        SharedState updated = state;
        for (Decision decision : moves) {
            if (decision.command().isPresent() && decision.command().get() instanceof FleetCommand.Withdraw withdraw) {
                HostState host = updated.hosts().get(withdraw.host());
                updated = updated.withHost(host.withMaintenance(host.version(), MaintenanceStep.HELD, host.wave()));
            }
        }
        return updated;
    }
}
