package org.cicadalead.bench.outcomes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cicadalead.logic.capacity.CapacityPolicy;
import org.cicadalead.logic.capacity.DemandWindow;
import org.cicadalead.logic.membership.MoveCoordinator;
import org.cicadalead.logic.planning.CommandStagger;
import org.cicadalead.logic.planning.Decision;
import org.cicadalead.logic.planning.HostObserver;
import org.cicadalead.logic.planning.HostObserver.Observation;
import org.cicadalead.logic.planning.MaintenanceSteps;
import org.cicadalead.logic.planning.PlanningCycle;
import org.cicadalead.logic.planning.PlanningInput;
import org.cicadalead.logic.planning.StepAges;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.fleet.HostCondition;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.state.SharedState;
import org.pcollections.TreePMap;

/**
 * Simulates one entry process: it runs the planners on a view that lags behind the log and fakes the requests that it
 * has in flight. For use by one thread.
 */
final class BenchProcess {
    private static final long OBSERVATION_INTERVAL_MILLISECONDS = 5_000;
    private static final long PLANNING_INTERVAL_MILLISECONDS = 10_000;
    private static final int MAX_LAG_MILLISECONDS = 4_000;
    private static final long MIN_DRAIN_MILLISECONDS = 2_000;
    private static final int DRAIN_SPREAD_MILLISECONDS = 35_000;

    private final ProcessIdentifier identifier;
    private final ZoneName zone;
    private final CapacityPolicy policy;
    private final long lagMilliseconds;
    private final Random random;
    private final Map<HostName, Long> inFlightUntil = new HashMap<>();
    private final DemandWindow demand = new DemandWindow();
    private final CommandStagger commandStagger = new CommandStagger();
    private final PlanningCycleCosts planningCosts;
    private HostObserver observer = HostObserver.initial();
    private StepAges stepAges = StepAges.initial();
    private Set<HostName> suspects = Set.of();
    private Set<FleetCommand.HostMove> orderedReboots = Set.of();
    private TreePMap<HostName, MoveCoordinator.TrackedMove> watches = TreePMap.empty();
    private SharedState view = SharedState.empty();
    private boolean isCutOff;
    private long nextObservation;
    private long nextPlan;

    BenchProcess(
            ProcessIdentifier identifier,
            ZoneName zone,
            CapacityPolicy policy,
            PlanningCycleCosts planningCosts,
            long seed) {
        this.identifier = identifier;
        this.zone = zone;
        this.policy = policy;
        this.planningCosts = planningCosts;
        this.random = new Random(seed);
        this.lagMilliseconds = random.nextInt(MAX_LAG_MILLISECONDS);
    }

    ProcessIdentifier identifier() {
        return identifier;
    }

    ZoneName zone() {
        return zone;
    }

    SharedState view() {
        return view;
    }

    /** Sets whether the process is cut off from the platform and from the other availability zones. */
    void setCutOff(boolean cutOff) {
        isCutOff = cutOff;
    }

    /**
     * Returns whether it may place work on a host; a process that is cut off reaches only the hosts of its own zone.
     */
    boolean canPlaceWork(HostState host, SimulatedHosts hosts) {
        return isOpenForPlacement(view, host)
                && (!isCutOff || hosts.zone(host.name()).equals(zone));
    }

    /**
     * Updates the view to the state that the log had before this process's lag. On a host that becomes closed for
     * placement, the requests in flight end after a random time.
     */
    void followLog(BenchLog log, long now) {
        long offset = log.findOffsetAt(now - lagMilliseconds);
        if (offset <= view.offset()) {
            return;
        }
        SharedState previousView = view;
        view = log.stateAt(offset);
        for (HostState host : previousView.hosts().values()) {
            HostState currentHost = view.hosts().get(host.name());
            boolean isClosed = isOpenForPlacement(previousView, host)
                    && (currentHost == null || !isOpenForPlacement(view, currentHost));
            if (isClosed) {
                inFlightUntil.put(
                        host.name(), now + MIN_DRAIN_MILLISECONDS + random.nextInt(DRAIN_SPREAD_MILLISECONDS));
            }
        }
    }

    /** Returns whether this process has requests in flight on a host. */
    boolean hasInFlight(HostName name, long now) {
        HostState host = view.hosts().get(name);
        if (!view.members().containsKey(identifier)) {
            return false;
        }
        return (host != null && isOpenForPlacement(view, host)) || inFlightUntil.getOrDefault(name, 0L) > now;
    }

    /** Observes, plans and advances moves; returns the commands that the process appends now. */
    List<Command> decideCommands(
            SimulatedHosts hosts, Map<PoolName, Double> usage, Set<ProcessIdentifier> cutOffMembers, long now) {
        List<Command> commands = new ArrayList<>();
        demand.add(now, usage);
        if (now >= nextObservation) {
            nextObservation = now + OBSERVATION_INTERVAL_MILLISECONDS;
            Observation observation = observer.observe(view, hosts.listedHealth(), Set.of());
            observer = observation.nextObserver();
            suspects = observation.suspects();
            observation.command().ifPresent(commands::add);
        }
        commands.addAll(advanceMoves(cutOffMembers, now));
        if (now >= nextPlan) {
            nextPlan = now + PLANNING_INTERVAL_MILLISECONDS - random.nextInt(1_000);
            commands.addAll(planCommands(hosts, now));
        }
        return commands;
    }

    /** Returns the operation number of each reboot that is due, by host. */
    Map<HostName, Long> findDueReboots() {
        Map<HostName, Long> reboots = new HashMap<>();
        for (HostState host : view.hosts().values()) {
            MaintenanceSteps.findRebootNumber(view, host).ifPresent(operation -> reboots.put(host.name(), operation));
        }
        return reboots;
    }

    private List<Command> planCommands(SimulatedHosts hosts, long now) {
        stepAges = stepAges.withStateAt(view, now);
        Map<HostName, HostHealth> listedHealth = hosts.listedHealth();
        Set<HostName> hostsListedAsUp = new HashSet<>();
        listedHealth.forEach((host, health) -> {
            if (health == HostHealth.UP) {
                hostsListedAsUp.add(host);
            }
        });
        PlanningInput input = new PlanningInput(
                view,
                policy,
                suspects,
                demand.sustainedDemand(),
                findConditions(hosts),
                hostsListedAsUp,
                stepAges,
                now);
        List<Decision> decisions = planningCosts.measure(() -> PlanningCycle.plan(input));
        return commandStagger.takeDueCommands(decisions, view, identifier, now);
    }

    private Map<HostName, HostCondition> findConditions(SimulatedHosts hosts) {
        Map<HostName, HostCondition> conditions = new HashMap<>();
        for (HostState host : view.hosts().values()) {
            if (host.wave().isPresent()) {
                conditions.put(host.name(), hosts.condition(host.name()));
            }
        }
        return conditions;
    }

    /** Advances moves as the move loop does, and confirms drains. */
    private List<Command> advanceMoves(Set<ProcessIdentifier> cutOffMembers, long now) {
        Set<HostName> hostsInUse = new HashSet<>();
        Set<HostName> idleHosts = new HashSet<>();
        for (HostState host : view.hosts().values()) {
            if (host.move().isPresent() || host.wave().isPresent()) {
                (hasInFlight(host.name(), now) ? hostsInUse : idleHosts).add(host.name());
            }
        }
        MoveCoordinator.DecisionInput facts = new MoveCoordinator.DecisionInput(
                identifier,
                TimeUnit.MILLISECONDS.toNanos(now),
                hostsInUse,
                view.members().containsKey(identifier) ? cutOffMembers : Set.of(),
                orderedReboots);
        MoveCoordinator.Decision decision = MoveCoordinator.decide(view, watches, facts);
        watches = decision.trackedMoves();
        orderedReboots = Set.copyOf(decision.toReboot());
        List<Command> commands = new ArrayList<>(decision.toCancel());
        if (!decision.toAcknowledge().isEmpty()) {
            commands.add(new FleetCommand.Acknowledge(identifier, decision.toAcknowledge()));
        }
        if (!decision.toRecordReboot().isEmpty()) {
            commands.add(new FleetCommand.RebootForMove(decision.toRecordReboot(), decision.skippedMembers()));
        }
        if (!decision.toAssign().isEmpty()) {
            commands.add(new FleetCommand.Assign(decision.toAssign(), decision.skippedMembers()));
        }
        PlanningCycle.planDrainConfirmations(view, identifier, idleHosts)
                .forEach(confirmation -> confirmation.command().ifPresent(commands::add));
        return commands;
    }

    private static boolean isOpenForPlacement(SharedState state, HostState host) {
        boolean isSpare =
                state.configuration().merged().pools().get(host.pool()).spare();
        return host.isAvailable() && !isSpare;
    }
}
