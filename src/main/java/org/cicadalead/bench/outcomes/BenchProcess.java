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
 * One entry process of the bench: planners on a view that lags, with a fake of the requests that it has in flight. For
 * use by one thread.
 */
final class BenchProcess {
    private static final long OBSERVE_MILLISECONDS = 5_000;
    private static final long PLAN_MILLISECONDS = 10_000;
    private static final int LONGEST_LAG_MILLISECONDS = 4_000;
    private static final long SHORTEST_DRAIN_MILLISECONDS = 2_000;
    private static final int DRAIN_SPREAD_MILLISECONDS = 35_000;

    private final ProcessIdentifier identifier;
    private final ZoneName zone;
    private final CapacityPolicy policy;
    private final long lagMilliseconds;
    private final Random random;
    private final Map<HostName, Long> inFlightUntil = new HashMap<>();
    private final DemandWindow demand = new DemandWindow();
    private final CommandStagger standing = new CommandStagger();
    private final RoundTimes roundTimes;
    private HostObserver observer = HostObserver.initial();
    private StepAges ages = StepAges.initial();
    private Set<HostName> suspects = Set.of();
    private Set<FleetCommand.HostMove> rebooted = Set.of();
    private TreePMap<HostName, MoveCoordinator.TrackedMove> watches = TreePMap.empty();
    private SharedState view = SharedState.empty();
    private boolean cutOff;
    private long nextObservation;
    private long nextPlan;

    BenchProcess(ProcessIdentifier identifier, ZoneName zone, CapacityPolicy policy, RoundTimes roundTimes, long seed) {
        this.identifier = identifier;
        this.zone = zone;
        this.policy = policy;
        this.roundTimes = roundTimes;
        this.random = new Random(seed);
        this.lagMilliseconds = random.nextInt(LONGEST_LAG_MILLISECONDS);
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

    /** Cuts the process off from the platform and the other zones, or ends that. */
    void setCutOff(boolean now) {
        cutOff = now;
    }

    /** Tells whether it may place work on a host: a process that is cut off only on hosts of its own zone. */
    boolean places(HostState host, TrueHosts hosts) {
        return mayPlace(view, host) && (!cutOff || hosts.zone(host.name()).equals(zone));
    }

    /** Follows the log, with a lag. */
    void follow(BenchLog log, long now) {
        long offset = log.offsetAt(now - lagMilliseconds);
        if (offset <= view.offset()) {
            return;
        }
        SharedState before = view;
        view = log.at(offset);
        for (HostState host : before.hosts().values()) {
            HostState after = view.hosts().get(host.name());
            boolean stops = mayPlace(before, host) && (after == null || !mayPlace(view, after));
            if (stops) {
                inFlightUntil.put(
                        host.name(), now + SHORTEST_DRAIN_MILLISECONDS + random.nextInt(DRAIN_SPREAD_MILLISECONDS));
            }
        }
    }

    /** Tells whether this process has requests in flight on a host. */
    boolean hasInFlight(HostName name, long now) {
        HostState host = view.hosts().get(name);
        if (!view.members().containsKey(identifier)) {
            return false;
        }
        return (host != null && mayPlace(view, host)) || inFlightUntil.getOrDefault(name, 0L) > now;
    }

    /** Returns the commands that it appends now. */
    List<Command> act(TrueHosts hosts, Map<PoolName, Double> usage, Set<ProcessIdentifier> cutOffMembers, long now) {
        List<Command> commands = new ArrayList<>();
        demand.add(now, usage);
        if (now >= nextObservation) {
            nextObservation = now + OBSERVE_MILLISECONDS;
            Observation observation = observer.observe(view, hosts.list(), Set.of());
            observer = observation.nextObserver();
            suspects = observation.suspects();
            observation.command().ifPresent(commands::add);
        }
        commands.addAll(acknowledge(cutOffMembers, now));
        if (now >= nextPlan) {
            nextPlan = now + PLAN_MILLISECONDS - random.nextInt(1_000);
            commands.addAll(plan(hosts, now));
        }
        return commands;
    }

    /** Returns the reboots that are due, by operation. */
    Map<HostName, Long> reboots() {
        Map<HostName, Long> reboots = new HashMap<>();
        for (HostState host : view.hosts().values()) {
            MaintenanceSteps.findRebootNumber(view, host).ifPresent(operation -> reboots.put(host.name(), operation));
        }
        return reboots;
    }

    private List<Command> plan(TrueHosts hosts, long now) {
        ages = ages.withStateAt(view, now);
        Map<HostName, HostHealth> listed = hosts.list();
        Set<HostName> listedUp = new HashSet<>();
        listed.forEach((host, health) -> {
            if (health == HostHealth.UP) {
                listedUp.add(host);
            }
        });
        PlanningInput input = new PlanningInput(
                view, policy, suspects, demand.sustainedDemand(), conditions(hosts), listedUp, ages, now);
        List<Decision> decisions = roundTimes.measure(() -> PlanningCycle.plan(input));
        return standing.takeDueCommands(decisions, view, identifier, now);
    }

    private Map<HostName, HostCondition> conditions(TrueHosts hosts) {
        Map<HostName, HostCondition> conditions = new HashMap<>();
        for (HostState host : view.hosts().values()) {
            if (host.wave().isPresent()) {
                conditions.put(host.name(), hosts.condition(host.name()));
            }
        }
        return conditions;
    }

    /** Brings moves forward as the move loop does, and confirms drains. */
    private List<Command> acknowledge(Set<ProcessIdentifier> cutOffMembers, long now) {
        Set<HostName> busy = new HashSet<>();
        Set<HostName> idle = new HashSet<>();
        for (HostState host : view.hosts().values()) {
            if (host.move().isPresent() || host.wave().isPresent()) {
                (hasInFlight(host.name(), now) ? busy : idle).add(host.name());
            }
        }
        MoveCoordinator.DecisionInput facts = new MoveCoordinator.DecisionInput(
                identifier,
                TimeUnit.MILLISECONDS.toNanos(now),
                busy,
                view.members().containsKey(identifier) ? cutOffMembers : Set.of(),
                rebooted);
        MoveCoordinator.Decision decision = MoveCoordinator.decide(view, watches, facts);
        watches = decision.trackedMoves();
        rebooted = Set.copyOf(decision.toReboot());
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
        PlanningCycle.planDrainConfirmations(view, identifier, idle)
                .forEach(confirmation -> confirmation.command().ifPresent(commands::add));
        return commands;
    }

    private static boolean mayPlace(SharedState state, HostState host) {
        boolean spare = state.configuration().merged().pools().get(host.pool()).spare();
        return host.isAvailable() && !spare;
    }
}
