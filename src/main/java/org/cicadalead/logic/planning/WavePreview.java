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
 * Shows what a wave would do, by running the planners and the fold on a copy of the state on which nothing fails and
 * every host takes the same time. Stateless; safe for use by several threads.
 */
public final class WavePreview {
    /** Assumed time of a host from its grant to its return, in minutes. */
    public static final int ASSUMED_HOST_MINUTES = 10;

    private static final int MAXIMUM_STEPS = 2_000;

    private WavePreview() {}

    /** Plans a wave that has not started; its period is ignored, as the preview shows the shortest time. */
    public static Preview of(SharedState state, MaintenanceCommand.Start start, CapacityPolicy policy) {
        long offset = state.offset() + 1;
        SharedState alone = state.withMembers(TreePMap.empty()).withWaves(TreePMap.empty());
        MaintenanceCommand.Start unspread = new MaintenanceCommand.Start(
                start.wave(), start.selection(), start.action(), start.reason(), 0, 0, start.maximumFailures());
        FoldResult started = MaintenanceFold.apply(alone, offset, unspread);
        if (started.outcome() instanceof CommandOutcome.Rejected rejected) {
            return new Preview(List.of(), 0, 0, 0, List.of(rejected.detail()));
        }
        return new Simulation(started.state(), policy).run(start);
    }

    /**
     * What a wave would do. Immutable.
     *
     * @param steps the steps in order
     * @param minutes assumed time until the last host is back
     * @param moves hosts that change pool
     * @param leastSlack hosts that the tightest pool could still lose at the tightest moment, after the largest failure
     *     that its budgets cover
     * @param waiting why hosts that would never be granted wait
     */
    public record Preview(List<Step> steps, int minutes, int moves, int leastSlack, List<String> waiting) {
        /** Copies the lists. */
        public Preview {
            steps = List.copyOf(steps);
            waiting = List.copyOf(waiting);
        }
    }

    /**
     * One step: its hosts are out at the same time. Immutable.
     *
     * @param startsAtMinute assumed time after the start of the wave
     * @param moves hosts that change pool before it
     * @param hosts hosts that are drained and rebooted
     * @param availableByPool hosts that each pool has meanwhile
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
        private int leastSlack = Integer.MAX_VALUE;

        Simulation(SharedState state, CapacityPolicy policy) {
            this.state = state;
            this.policy = policy;
        }

        Preview run(MaintenanceCommand.Start start) {
            for (int number = 0; number < MAXIMUM_STEPS && waitingHosts(start) > 0; number++) {
                List<String> moved = move();
                List<HostName> granted = grant();
                if (granted.isEmpty() && moved.isEmpty()) {
                    break;
                }
                if (!granted.isEmpty()) {
                    steps.add(new Step(steps.size() * ASSUMED_HOST_MINUTES, moved, granted, available()));
                }
                granted.forEach(this::bringBack);
            }
            int minutes = steps.size() * ASSUMED_HOST_MINUTES;
            int slack = leastSlack == Integer.MAX_VALUE ? 0 : leastSlack;
            return new Preview(steps, minutes, moves, slack, waitReasons());
        }

        private int waitingHosts(MaintenanceCommand.Start start) {
            return Optional.ofNullable(state.waves().get(start.wave()))
                    .map((WaveState wave) -> wave.countHosts(WaveHostProgress.WAITING))
                    .orElse(0);
        }

        private List<String> move() {
            List<String> moved = new ArrayList<>();
            for (Decision decision : CapacityPlanner.plan(PlanningInput.ofState(state, policy, 0))) {
                if (decision.command().orElse(null) instanceof FleetCommand.Withdraw withdraw && apply(withdraw)) {
                    HostState host = state.hosts().get(withdraw.host());
                    moved.add(withdraw.host() + " from " + host.pool() + " to " + withdraw.destination());
                    state = state.withHost(host.inPool(state.offset(), withdraw.destination()));
                }
            }
            moves += moved.size();
            return moved;
        }

        private List<HostName> grant() {
            List<HostName> granted = new ArrayList<>();
            for (Decision decision : MaintenancePlanner.plan(PlanningInput.ofState(state, policy, 0))) {
                if (decision.command().orElse(null) instanceof MaintenanceCommand.Grant grant && apply(grant)) {
                    granted.add(grant.host());
                }
            }
            return granted;
        }

        private void bringBack(HostName name) {
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

        private SortedMap<PoolName, Integer> available() {
            SortedMap<PoolName, Integer> available = new TreeMap<>();
            for (PoolCapacity pool : CapacityIndex.of(state).pools()) {
                available.put(pool.pool(), pool.available());
                leastSlack = Math.min(leastSlack, pool.slack());
            }
            return available;
        }

        private List<String> waitReasons() {
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
