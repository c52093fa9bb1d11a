package org.cicadalead.bench.outcomes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.cicadalead.bench.outcomes.OutcomesReport.PolicyOutcome;
import org.cicadalead.bench.outcomes.Scenario.Incident;
import org.cicadalead.logic.capacity.CapacityPolicy;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.ConfigurationCommand;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.command.MaintenanceCommand;
import org.cicadalead.model.command.MembershipCommand;
import org.cicadalead.model.configuration.ConfigurationUnit;
import org.cicadalead.model.configuration.FleetConfiguration;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.fleet.WaveAction;
import org.cicadalead.model.fleet.WaveChange;
import org.cicadalead.model.fleet.WavePhase;
import org.cicadalead.model.fleet.WaveSelection;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.WaveIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.state.Member;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.model.state.WaveState;

/** Simulates a scenario with one capacity policy, in virtual time. For use by one thread. */
final class ScenarioSimulation {
    private static final long STEP_MILLISECONDS = 2_500;
    private static final long LARGE_FLEET_STEP_MILLISECONDS = 5_000;
    private static final int LARGE_FLEET_HOSTS = 500;
    private static final long EVICTION_DELAY_MILLISECONDS = 60_000;
    private static final long RESUME_DELAY_MILLISECONDS = 5 * 60_000;
    private static final int PROCESSES_PER_ZONE = 2;
    private static final int MAX_FAILURES = 2;
    private static final double MILLISECONDS_PER_HOUR = 3_600_000;
    private static final double MILLISECONDS_PER_MINUTE = 60_000;
    static final ProcessIdentifier OPERATOR = new ProcessIdentifier("operator");

    private final CapacityPolicy policy;
    private final Scenario scenario;
    private final long seed;
    private final long stepMilliseconds;
    private final Random random;
    private final BenchLog log = new BenchLog();
    private final SimulatedHosts hosts;
    private final SimulatedDemand demand;
    private final OutcomeOracle oracle;
    private final PlanningCycleCosts planningCosts = new PlanningCycleCosts();
    private final List<BenchProcess> processes = new ArrayList<>();
    private final Map<ZoneName, Long> zoneDownUntil = new HashMap<>();
    private final Map<ZoneName, Long> zoneCutOffUntil = new HashMap<>();
    private final Map<WaveIdentifier, Long> waveStartTimes = new TreeMap<>();
    private final Map<WaveIdentifier, Long> waveEndTimes = new HashMap<>();
    private final Map<WaveIdentifier, Long> waveOnHoldSince = new HashMap<>();
    private long logDownUntil;
    private long now;
    private int startedProcesses;
    private double idleHostMilliseconds;
    private double belowPromiseMilliseconds;

    ScenarioSimulation(List<ConfigurationUnit> units, CapacityPolicy policy, Scenario scenario, long seed) {
        this.policy = policy;
        this.scenario = scenario;
        this.seed = seed;
        this.random = new Random(seed + 1);
        List<ConfigurationCommand.UnitChange> changes = units.stream()
                .map(unit -> new ConfigurationCommand.UnitChange(unit.fileName(), 0, Optional.of(unit)))
                .toList();
        CommandOutcome outcome = log.append(new ConfigurationCommand.Publish(changes), OPERATOR, 0);
        if (outcome instanceof CommandOutcome.Rejected rejected) {
            throw new CicadaleadException(rejected.kind(), rejected.detail());
        }
        FleetConfiguration configuration = log.newestState().configuration().merged();
        stepMilliseconds =
                configuration.hosts().size() < LARGE_FLEET_HOSTS ? STEP_MILLISECONDS : LARGE_FLEET_STEP_MILLISECONDS;
        hosts = new SimulatedHosts(configuration.hosts().values(), seed);
        demand = new SimulatedDemand(configuration, new Random(seed + 2));
        oracle = new OutcomeOracle(hosts);
        configuration.zones().keySet().forEach(this::startProcesses);
    }

    PolicyOutcome run() {
        int nextIncident = 0;
        while (now < scenario.lengthMilliseconds()) {
            now += stepMilliseconds;
            hosts.advance(now);
            while (nextIncident < scenario.incidents().size()
                    && scenario.incidents().get(nextIncident).timeMilliseconds() <= now) {
                applyIncident(scenario.incidents().get(nextIncident));
                nextIncident++;
            }
            step();
        }
        return createOutcome();
    }

    private void step() {
        restoreZones();
        Map<PoolName, Double> usage = demand.createReport(now);
        List<BenchProcess> runningProcesses =
                processes.stream().filter(process -> !isDown(process.zone())).toList();
        Set<ProcessIdentifier> cutOffProcesses = runningProcesses.stream()
                .filter(process -> isCutOff(process.zone()))
                .map(BenchProcess::identifier)
                .collect(Collectors.toSet());
        for (BenchProcess process : runningProcesses) {
            process.setCutOff(isCutOff(process.zone()));
            if (isCutOff(process.zone())) {
                continue;
            }
            process.followLog(log, now);
            List<Command> commands = process.decideCommands(hosts, usage, cutOffProcesses, now);
            commands.forEach(command -> append(command, process.identifier()));
            process.findDueReboots().forEach((host, operation) -> {
                if (hosts.startReboot(host, operation)) {
                    oracle.checkReboot(host, runningProcesses, now);
                }
            });
        }
        resumeWavesOnHold();
        oracle.checkState(log, runningProcesses, now, stepMilliseconds);
        measureCapacity(log.newestState());
    }

    private Optional<CommandOutcome> append(Command command, ProcessIdentifier writer) {
        return now < logDownUntil ? Optional.empty() : Optional.of(log.append(command, writer, now));
    }

    private void applyIncident(Incident incident) {
        switch (incident.kind()) {
            case HOST_FAILS -> hosts.fail(new HostName(incident.subject()), incident.durationMilliseconds());
            case HOST_LEAVES ->
                hosts.announceLeaving(new HostName(incident.subject()), incident.durationMilliseconds());
            case RACK_FAILS -> failAll(incident, host -> hosts.rack(host).value());
            case ZONE_FAILS -> {
                failAll(incident, host -> hosts.zone(host).value());
                zoneDownUntil.put(new ZoneName(incident.subject()), now + incident.durationMilliseconds());
            }
            case ZONE_CUT ->
                zoneCutOffUntil.put(new ZoneName(incident.subject()), now + incident.durationMilliseconds());
            case LOG_DOWN -> logDownUntil = now + incident.durationMilliseconds();
            case WAVE -> startWave();
            case RACING_OPERATORS -> appendRacingChanges();
            case CARELESS_COMMANDS -> appendCarelessCommands(new HostName(incident.subject()));
            default -> throw new IllegalStateException(incident.kind().name());
        }
    }

    private void failAll(Incident incident, java.util.function.Function<HostName, String> placeOf) {
        for (HostName host : hosts.names()) {
            if (placeOf.apply(host).equals(incident.subject())) {
                hosts.fail(host, incident.durationMilliseconds());
            }
        }
    }

    private void startWave() {
        WaveIdentifier wave = new WaveIdentifier("forced-" + waveStartTimes.size());
        append(
                new MaintenanceCommand.Start(
                        wave,
                        WaveSelection.ofWholeFleet(),
                        WaveAction.REBOOT,
                        "forced by the operator",
                        now,
                        0,
                        MAX_FAILURES),
                OPERATOR);
        waveStartTimes.put(wave, now);
    }

    private void appendRacingChanges() {
        findNewestActiveWave().ifPresent(wave -> {
            Optional<CommandOutcome> first =
                    append(new MaintenanceCommand.Change(wave.wave(), wave.version(), WaveChange.PAUSE), OPERATOR);
            Optional<CommandOutcome> second =
                    append(new MaintenanceCommand.Change(wave.wave(), wave.version(), WaveChange.RESUME), OPERATOR);
            oracle.checkRace(isAccepted(first), isAccepted(second), now);
        });
    }

    /** Appends a random move and a random grant; only the fold can reject what a budget does not allow. */
    private void appendCarelessCommands(HostName name) {
        SharedState state = log.newestState();
        HostState host = state.hosts().get(name);
        List<PoolName> pools =
                List.copyOf(state.configuration().merged().pools().keySet());
        append(new FleetCommand.Withdraw(name, host.version(), pools.get(random.nextInt(pools.size()))), OPERATOR);
        findNewestActiveWave()
                .ifPresent(wave -> append(
                        new MaintenanceCommand.Grant(
                                wave.wave(),
                                name,
                                log.newestState().hosts().get(name).version()),
                        OPERATOR));
    }

    /** Resumes waves that have been paused or stopped for a while, as an operator does, and records when waves end. */
    private void resumeWavesOnHold() {
        for (WaveState wave : log.newestState().waves().values()) {
            boolean isOnHold = wave.phase() == WavePhase.PAUSED || wave.phase() == WavePhase.STOPPED;
            if (wave.phase().isTerminal()) {
                waveEndTimes.putIfAbsent(wave.wave(), now);
            } else if (!isOnHold) {
                waveOnHoldSince.remove(wave.wave());
            } else if (now - waveOnHoldSince.computeIfAbsent(wave.wave(), unused -> now) > RESUME_DELAY_MILLISECONDS) {
                append(new MaintenanceCommand.Change(wave.wave(), wave.version(), WaveChange.RESUME), OPERATOR);
            }
        }
    }

    private Optional<WaveState> findNewestActiveWave() {
        return log.newestState().waves().values().stream()
                .filter(wave -> !wave.phase().isTerminal())
                .max(Comparator.comparingLong(WaveState::version));
    }

    private static boolean isAccepted(Optional<CommandOutcome> outcome) {
        return outcome.filter(CommandOutcome.Accepted.class::isInstance).isPresent();
    }

    private void startProcesses(ZoneName zone) {
        for (int count = 0; count < PROCESSES_PER_ZONE; count++) {
            startedProcesses++;
            ProcessIdentifier identifier = new ProcessIdentifier(String.format("process-%03d", startedProcesses));
            append(
                    new MembershipCommand.Join(
                            identifier, zone, new NetworkAddress("127.0.0.1", startedProcesses), Optional.empty()),
                    identifier);
            processes.add(new BenchProcess(identifier, zone, policy, planningCosts, seed + startedProcesses));
        }
    }

    /** Evicts the members of a failed zone after a delay, and starts new processes when the zone returns. */
    private void restoreZones() {
        for (Map.Entry<ZoneName, Long> outage : zoneDownUntil.entrySet()) {
            long outageMilliseconds = now - (outage.getValue() - zoneOutageMilliseconds());
            if (outageMilliseconds > EVICTION_DELAY_MILLISECONDS) {
                evictMembers(outage.getKey());
            }
        }
        zoneDownUntil.entrySet().removeIf(outage -> {
            boolean hasReturned = outage.getValue() <= now;
            if (hasReturned) {
                startProcesses(outage.getKey());
            }
            return hasReturned;
        });
    }

    private long zoneOutageMilliseconds() {
        return scenario.incidents().stream()
                .filter(incident -> incident.kind() == Scenario.Kind.ZONE_FAILS)
                .mapToLong(Incident::durationMilliseconds)
                .max()
                .orElse(0);
    }

    private void evictMembers(ZoneName zone) {
        for (Member member : log.newestState().members().values()) {
            if (member.zone().equals(zone)) {
                append(new MembershipCommand.Leave(member.process(), member.version()), OPERATOR);
            }
        }
        processes.removeIf(process -> process.zone().equals(zone));
    }

    private boolean isDown(ZoneName zone) {
        return zoneDownUntil.getOrDefault(zone, 0L) > now;
    }

    private boolean isCutOff(ZoneName zone) {
        return zoneCutOffUntil.getOrDefault(zone, 0L) > now;
    }

    private void measureCapacity(SharedState state) {
        Map<PoolName, Integer> servingHosts = new HashMap<>();
        for (HostState host : state.hosts().values()) {
            if (host.isAvailable() && hosts.isWorking(host.name())) {
                servingHosts.merge(host.pool(), 1, Integer::sum);
            }
        }
        Map<PoolName, Integer> promisedHosts = new HashMap<>();
        for (ServiceDefinition service :
                state.configuration().merged().services().values()) {
            promisedHosts.merge(service.pool(), service.budget().promisedHosts(), Math::max);
        }
        for (PoolName pool : state.configuration().merged().pools().keySet()) {
            int servingInPool = servingHosts.getOrDefault(pool, 0);
            int promisedInPool = promisedHosts.getOrDefault(pool, 0);
            int neededInPool = Math.max(promisedInPool, (int) Math.ceil(demand.demandedHosts(pool, now)));
            idleHostMilliseconds += (double) Math.max(0, servingInPool - neededInPool) * stepMilliseconds;
            belowPromiseMilliseconds += (double) Math.max(0, promisedInPool - servingInPool) * stepMilliseconds;
        }
    }

    private PolicyOutcome createOutcome() {
        List<Double> waveMinutes = new ArrayList<>();
        int unfinished = 0;
        for (Map.Entry<WaveIdentifier, Long> started : waveStartTimes.entrySet()) {
            Long ended = waveEndTimes.get(started.getKey());
            unfinished += ended == null ? 1 : 0;
            waveMinutes.add(((ended == null ? now : ended) - started.getValue()) / MILLISECONDS_PER_MINUTE);
        }
        if (waveStartTimes.isEmpty()) {
            throw new CicadaleadException(ErrorKind.INTERNAL, "The day has no wave");
        }
        List<BenchLog.Entry> entries = log.entriesAfter(0);
        return new PolicyOutcome(
                policy,
                idleHostMilliseconds / MILLISECONDS_PER_HOUR,
                waveMinutes.stream().mapToDouble(Double::doubleValue).average().orElse(0),
                waveMinutes,
                unfinished,
                oracle.moves(),
                oracle.violations(),
                oracle.violationTexts(),
                oracle.unplannedMilliseconds() / MILLISECONDS_PER_MINUTE,
                oracle.beyondCoverMilliseconds() / MILLISECONDS_PER_MINUTE,
                belowPromiseMilliseconds / MILLISECONDS_PER_HOUR,
                entries.size(),
                entries.stream().filter(entry -> !entry.isAccepted()).count(),
                planningCosts.medianMicroseconds(),
                planningCosts.ninetyNinthPercentileMicroseconds(),
                planningCosts.medianKilobytes());
    }
}
