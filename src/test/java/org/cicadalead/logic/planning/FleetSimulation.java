package org.cicadalead.logic.planning;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cicadalead.bench.outcomes.BenchFleet;
import org.cicadalead.logic.capacity.CapacityPolicy;
import org.cicadalead.logic.state.FoldResult;
import org.cicadalead.logic.state.SharedStateFold;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.ConfigurationCommand;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.command.MaintenanceCommand;
import org.cicadalead.model.command.MembershipCommand;
import org.cicadalead.model.configuration.AvailabilityBudget;
import org.cicadalead.model.configuration.ConfigurationUnit;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.fleet.HostCondition;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.fleet.MaintenanceStep;
import org.cicadalead.model.fleet.WaveAction;
import org.cicadalead.model.fleet.WaveChange;
import org.cicadalead.model.fleet.WaveSelection;
import org.cicadalead.model.identity.CommandIdentifier;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.RackName;
import org.cicadalead.model.identity.WaveIdentifier;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.model.state.WaveState;

/**
 * Runs a generated history against the planners and the fold together. Planners may read states that are several
 * records old, as in a process whose replica lags.
 */
final class FleetSimulation {
    private static final int MAX_VIEW_AGE_RECORDS = 6;
    private static final long STEP_MILLISECONDS = 30_000;

    private final List<SharedState> states = new ArrayList<>();
    private final FleetOracle oracle = new FleetOracle();
    private final FleetMutation mutation;
    private StepAges ages = StepAges.initial();
    private long nowMilliseconds;
    private int joinCount;

    FleetSimulation(FleetMutation mutation) {
        this.mutation = mutation;
        states.add(SharedState.empty());
        append(new ConfigurationCommand.Publish(BenchFleet.fromExample("blue-mountain").stream()
                .map(unit -> new ConfigurationCommand.UnitChange(unit.fileName(), 0, Optional.of(unit)))
                .toList()));
        join();
        join();
    }

    SharedState newestState() {
        return states.get(states.size() - 1);
    }

    void applyStep(FleetStep step) {
        nowMilliseconds += STEP_MILLISECONDS;
        switch (step.kind()) {
            case HOST_FAILS -> observe(Set.of(selectHost(step.first()).name()), HostHealth.DOWN);
            case RACK_FAILS -> observe(rackOf(selectHost(step.first())), HostHealth.DOWN);
            case HOST_RETURNS -> observe(rackOf(selectHost(step.first())), HostHealth.UP);
            case HOST_LEAVES -> observe(Set.of(selectHost(step.first()).name()), HostHealth.LEAVING);
            case PLAN, PLAN_AGAIN -> plan(step);
            case CONFIRM_DRAINS ->
                PlanningCycle.planDrainConfirmations(
                                newestState(),
                                selectMember(step.first()),
                                newestState().hosts().keySet())
                        .forEach(decision -> append(decision.command().orElseThrow()));
            case ACKNOWLEDGE -> append(new FleetCommand.Acknowledge(selectMember(step.first()), currentMoves()));
            case ASSIGN -> append(new FleetCommand.Assign(currentMoves(), List.of()));
            case UNPLANNED_GRANT -> grant(selectHost(step.first()), step.second());
            case UNPLANNED_WITHDRAW -> withdraw(selectHost(step.first()), step.second());
            case UNPLANNED_ADVANCE -> advance(selectHost(step.first()), step.second());
            case START_WAVE -> startWave(step);
            case CHANGE_WAVE ->
                selectActiveWave(step.first())
                        .ifPresent(wave -> append(new MaintenanceCommand.Change(
                                wave.wave(), wave.version(), select(WaveChange.values(), step.second()))));
            case PUBLISH_BUDGET -> publishBudget(step);
            case JOIN -> join();
            case LEAVE -> leave(step.first());
            default -> throw new IllegalStateException(step.kind().name());
        }
    }

    static ServiceDefinition withBudget(ServiceDefinition service, AvailabilityBudget budget) {
        return new ServiceDefinition(
                service.name(),
                service.pool(),
                budget,
                service.timeout(),
                service.queueLimit(),
                service.idempotentMethods(),
                service.place());
    }

    private void append(Command command) {
        SharedState before = newestState();
        long offset = before.offset() + 1;
        CommandEnvelope envelope = new CommandEnvelope(
                CommandEnvelope.CURRENT_FORMAT,
                new CommandIdentifier("step-" + offset),
                new ProcessIdentifier("fuzz"),
                command);
        SharedState visibleState = mutation.stateSeenByFold(before, command);
        FoldResult result = SharedStateFold.apply(visibleState, offset, Optional.of(envelope));
        SharedState after = mergeFoldChanges(before, visibleState, result.state());
        states.add(after);
        if (result.outcome() instanceof CommandOutcome.Accepted) {
            oracle.check(before, after, command);
        }
    }

    /** Applies only the changes that the faulty fold made and keeps the rest of the real state. */
    private static SharedState mergeFoldChanges(SharedState before, SharedState visibleState, SharedState result) {
        SharedState merged = result.withHosts(before.hosts()).withWaves(before.waves());
        if (visibleState.configuration().equals(result.configuration())) {
            merged = merged.withConfiguration(before.configuration());
        }
        for (HostState host : result.hosts().values()) {
            if (!host.equals(visibleState.hosts().get(host.name()))) {
                merged = merged.withHost(host);
            }
        }
        for (WaveState wave : result.waves().values()) {
            if (!wave.equals(visibleState.waves().get(wave.wave()))) {
                merged = merged.withWave(wave);
            }
        }
        return merged;
    }

    private void plan(FleetStep step) {
        int age = Math.min(step.second() % MAX_VIEW_AGE_RECORDS, states.size() - 1);
        SharedState view = states.get(states.size() - 1 - age);
        ages = ages.withStateAt(view, nowMilliseconds);
        Map<HostName, HostCondition> conditions = new HashMap<>();
        for (HostState host : view.hosts().values()) {
            MaintenanceSteps.findRebootNumber(view, host)
                    .ifPresent(operation ->
                            conditions.put(host.name(), new HostCondition(operation, HostCondition.Progress.RUNNING)));
        }
        Map<PoolName, Integer> demand = new HashMap<>();
        PoolName busyPool = selectPool(step.first());
        demand.put(busyPool, step.second());
        PlanningInput input = new PlanningInput(
                view,
                select(CapacityPolicy.values(), step.first()),
                Set.of(),
                demand,
                conditions,
                view.hosts().keySet(),
                ages,
                nowMilliseconds);
        PlanningCycle.plan(input).forEach(decision -> decision.command().ifPresent(this::append));
    }

    private void observe(Set<HostName> names, HostHealth health) {
        append(new FleetCommand.Observe(names.stream()
                .map(name -> new FleetCommand.HostObservation(
                        name, newestState().hosts().get(name).version(), health))
                .toList()));
    }

    private void grant(HostState host, int wave) {
        selectActiveWave(wave)
                .ifPresent(candidate ->
                        append(new MaintenanceCommand.Grant(candidate.wave(), host.name(), host.version())));
    }

    private void withdraw(HostState host, int pool) {
        append(new FleetCommand.Withdraw(host.name(), host.version(), selectPool(pool)));
    }

    private void advance(HostState host, int step) {
        HostState target = newestState().hosts().values().stream()
                .filter(candidate -> candidate.wave().isPresent())
                .findFirst()
                .orElse(host);
        append(new MaintenanceCommand.Advance(target.name(), target.version(), select(MaintenanceStep.values(), step)));
    }

    private void startWave(FleetStep step) {
        WaveSelection selection = step.first() % 2 == 0
                ? WaveSelection.ofWholeFleet()
                : new WaveSelection(List.of(selectPool(step.second())), List.of(), List.of(), List.of());
        append(new MaintenanceCommand.Start(
                new WaveIdentifier("wave-" + states.size()),
                selection,
                select(WaveAction.values(), step.second() / 4),
                "fuzz",
                nowMilliseconds,
                0,
                2));
    }

    private void publishBudget(FleetStep step) {
        List<ConfigurationUnit> units = newestState().configuration().units().values().stream()
                .map(versioned -> versioned.unit())
                .filter(unit -> !unit.services().isEmpty())
                .toList();
        ConfigurationUnit unit = units.get(step.first() % units.size());
        ServiceDefinition service = unit.services().get(0);
        int promised = 1 + step.second() % 10;
        int unavailable = Math.min(promised, step.second() / 10 % 5);
        AvailabilityBudget budget =
                new AvailabilityBudget(promised, unavailable, service.budget().cover());
        ConfigurationUnit changed = new ConfigurationUnit(
                unit.fileName(),
                "digest-" + states.size(),
                unit.deployment(),
                unit.zones(),
                unit.hosts(),
                unit.pools(),
                List.of(withBudget(service, budget)),
                unit.teams());
        long version =
                newestState().configuration().units().get(unit.fileName()).version();
        append(new ConfigurationCommand.Publish(
                List.of(new ConfigurationCommand.UnitChange(unit.fileName(), version, Optional.of(changed)))));
    }

    private void join() {
        joinCount++;
        append(new MembershipCommand.Join(
                new ProcessIdentifier("process-" + joinCount),
                newestState().configuration().merged().zones().firstKey(),
                new NetworkAddress("127.0.0.1", joinCount),
                Optional.empty()));
    }

    private void leave(int number) {
        if (newestState().members().size() > 1) {
            ProcessIdentifier process = selectMember(number);
            append(new MembershipCommand.Leave(
                    process, newestState().members().get(process).version()));
        }
    }

    private List<FleetCommand.HostMove> currentMoves() {
        return newestState().hosts().values().stream()
                .flatMap(host ->
                        host.move().stream().map(move -> new FleetCommand.HostMove(host.name(), move.version())))
                .toList();
    }

    private Set<HostName> rackOf(HostState host) {
        RackName rack =
                newestState().configuration().merged().hosts().get(host.name()).rack();
        return newestState().configuration().merged().hosts().values().stream()
                .filter(definition -> definition.rack().equals(rack))
                .map(definition -> definition.name())
                .collect(Collectors.toSet());
    }

    private HostState selectHost(int number) {
        List<HostState> hosts = List.copyOf(newestState().hosts().values());
        return hosts.get(number % hosts.size());
    }

    private PoolName selectPool(int number) {
        List<PoolName> pools =
                List.copyOf(newestState().configuration().merged().pools().keySet());
        return pools.get(number % pools.size());
    }

    private ProcessIdentifier selectMember(int number) {
        List<ProcessIdentifier> members = List.copyOf(newestState().members().keySet());
        return members.get(number % members.size());
    }

    private Optional<WaveState> selectActiveWave(int number) {
        List<WaveState> waves = newestState().waves().values().stream()
                .filter(wave -> !wave.phase().isTerminal())
                .toList();
        return waves.isEmpty() ? Optional.empty() : Optional.of(waves.get(number % waves.size()));
    }

    private static <T> T select(T[] values, int number) {
        return values[number % values.length];
    }
}
