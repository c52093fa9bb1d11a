package org.cicadalead.logic.planning;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.cicadalead.logic.capacity.CapacityIndex;
import org.cicadalead.logic.capacity.CapacityPolicy;
import org.cicadalead.logic.capacity.PoolCapacity;
import org.cicadalead.logic.fleet.FleetFold;
import org.cicadalead.logic.fleet.MaintenanceFold;
import org.cicadalead.logic.state.FoldResult;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.command.MaintenanceCommand;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.fleet.MaintenanceStep;
import org.cicadalead.model.fleet.WaveHostProgress;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.model.state.WaveState;
import org.pcollections.TreePMap;

/**
 * Computes what a wave would do by running the planners and the fold on a copy of the state, assuming that nothing
 * fails and that every host takes the same time. Stateless; safe for use by several threads.
 */
public final class WavePreview {
    /** Assumed time from the grant of a host to its return, in minutes. */
    public static final int ASSUMED_HOST_MINUTES = 10;

    private static final int MAX_STEPS = 2_000;

    private WavePreview() {}

    /**
     * Previews a wave that has not started. Its period is ignored, as the preview shows the shortest possible duration.
     */
    public static Preview of(SharedState state, MaintenanceCommand.Start start, CapacityPolicy policy) {
        long offset = state.offset() + 1;
        SharedState isolatedState = state.withMembers(TreePMap.empty()).withWaves(TreePMap.empty());
        MaintenanceCommand.Start startWithoutPeriod = new MaintenanceCommand.Start(
                start.wave(), start.selection(), start.action(), start.reason(), 0, 0, start.maximumFailures());
        FoldResult started = MaintenanceFold.apply(isolatedState, offset, startWithoutPeriod);
        if (started.outcome() instanceof CommandOutcome.Rejected rejected) {
            return new Preview(List.of(), 0, 0, 0, List.of(rejected.detail()));
        }
        return new Simulation(started.state(), policy).run(start);
    }

    /**
     * Preview of a wave. Immutable.
     *
     * @param steps the steps, in order
     * @param minutes assumed time until the last host has returned, in minutes
     * @param moves number of moves between pools
     * @param leastSlack minimum slack over all pools and steps: the number of hosts that a pool could still lose after
     *     the largest failure that its budgets cover
     * @param waiting reasons why the remaining hosts would never be granted
     */
    public record Preview(List<Step> steps, int minutes, int moves, int leastSlack, List<String> waiting) {
        /** Copies the lists. */
        public Preview {
            steps = List.copyOf(steps);
            waiting = List.copyOf(waiting);
        }
    }

    /**
     * One step of a wave, whose hosts are in maintenance at the same time. Immutable.
     *
     * @param startsAtMinute assumed time after the start of the wave, in minutes
     * @param moves hosts that change their pool before this step, as text
     * @param hosts hosts that are drained and rebooted
     * @param availableByPool number of available hosts of each pool during the step
     */
    public record Step(
            int startsAtMinute,
            List<String> moves,
            List<HostName> hosts,
            SortedMap<PoolName, Integer> availableByPool) {
        /** Copies the lists. */
        public Step {
            moves = List.copyOf(moves);
            hosts = List.copyOf(hosts);
        }
    }

    private static final class Simulation {
        private final CapacityPolicy policy;
        private final List<Step> steps = new ArrayList<>();
        private SharedState state;
        private int moves;
        private int minimumSlack = Integer.MAX_VALUE;

        Simulation(SharedState state, CapacityPolicy policy) {
            this.state = state;
            this.policy = policy;
        }

        Preview run(MaintenanceCommand.Start start) {
            for (int number = 0; number < MAX_STEPS && countWaitingHosts(start) > 0; number++) {
                List<String> moved = applyPlannedMoves();
                List<HostName> granted = applyPlannedGrants();
                if (granted.isEmpty() && moved.isEmpty()) {
                    break;
                }
                if (!granted.isEmpty()) {
                    steps.add(new Step(steps.size() * ASSUMED_HOST_MINUTES, moved, granted, recordAvailableHosts()));
                }
                granted.forEach(this::completeMaintenance);
            }
            int minutes = steps.size() * ASSUMED_HOST_MINUTES;
            int slack = minimumSlack == Integer.MAX_VALUE ? 0 : minimumSlack;
            return new Preview(steps, minutes, moves, slack, findWaitReasons());
        }

        private int countWaitingHosts(MaintenanceCommand.Start start) {
            return Optional.ofNullable(state.waves().get(start.wave()))
                    .map((WaveState wave) -> wave.countHosts(WaveHostProgress.WAITING))
                    .orElse(0);
        }

        private List<String> applyPlannedMoves() {
            List<String> moved = new ArrayList<>();
            for (Decision decision : CapacityPlanner.plan(PlanningInput.ofState(state, policy, 0))) {
                if (decision.command().orElse(null) instanceof FleetCommand.Withdraw withdraw && apply(withdraw)) {
                    HostState host = state.hosts().get(withdraw.host());
                    moved.add(withdraw.host() + " from " + host.pool() + " to " + withdraw.destination());
                    state = state.withHost(host.withPool(state.offset(), withdraw.destination()));
                }
            }
            moves += moved.size();
            return moved;
        }

        private List<HostName> applyPlannedGrants() {
            List<HostName> granted = new ArrayList<>();
            for (Decision decision : MaintenancePlanner.plan(PlanningInput.ofState(state, policy, 0))) {
                if (decision.command().orElse(null) instanceof MaintenanceCommand.Grant grant && apply(grant)) {
                    granted.add(grant.host());
                }
            }
            return granted;
        }

        private void completeMaintenance(HostName name) {
            for (MaintenanceStep step :
                    List.of(MaintenanceStep.REBOOTING, MaintenanceStep.VERIFYING, MaintenanceStep.NONE)) {
                apply(new MaintenanceCommand.Advance(
                        name, state.hosts().get(name).version(), step));
            }
        }

        private boolean apply(Command command) {
            SharedState next = state.withOffset(state.offset() + 1);
            FoldResult result = command instanceof FleetCommand fleet
                    ? FleetFold.apply(next, next.offset(), fleet)
                    : MaintenanceFold.apply(next, next.offset(), (MaintenanceCommand) command);
            state = result.state();
            return result.outcome() instanceof CommandOutcome.Accepted;
        }

        private SortedMap<PoolName, Integer> recordAvailableHosts() {
            SortedMap<PoolName, Integer> available = new TreeMap<>();
            for (PoolCapacity pool : CapacityIndex.of(state).pools()) {
                available.put(pool.pool(), pool.available());
                minimumSlack = Math.min(minimumSlack, pool.slack());
            }
            return available;
        }

        private List<String> findWaitReasons() {
            List<String> reasons = new ArrayList<>();
            for (Decision decision : MaintenancePlanner.plan(PlanningInput.ofState(state, policy, 0))) {
                decision.details().stream()
                        .filter(detail -> detail.name().equals("reason"))
                        .forEach(detail -> reasons.add(detail.value()));
            }
            return reasons;
        }
    }
}
