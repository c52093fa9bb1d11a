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
import org.cicadalead.bench.outcomes.Day.Incident;
import org.cicadalead.bench.outcomes.OutcomesReport.PolicyOutcome;
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

/** Plays one day with one policy. For use by one thread. */
final class OutcomesDay {
    private static final long STEP_MILLISECONDS = 2_500;
    private static final long LARGE_STEP_MILLISECONDS = 5_000;
    private static final int LARGE_FLEET_HOSTS = 500;
    private static final long EVICTION_MILLISECONDS = 60_000;
    private static final long OPERATOR_MILLISECONDS = 5 * 60_000;
    private static final int PROCESSES_PER_ZONE = 2;
    private static final int MAXIMUM_FAILURES = 2;
    private static final double MILLISECONDS_PER_HOUR = 3_600_000;
    private static final double MILLISECONDS_PER_MINUTE = 60_000;
    static final ProcessIdentifier OPERATOR = new ProcessIdentifier("operator");

    private final CapacityPolicy policy;
    private final Day day;
    private final long seed;
    private final long stepMilliseconds;
    private final Random random;
    private final BenchLog log = new BenchLog();
    private final TrueHosts hosts;
    private final TrueDemand demand;
    private final OutcomeOracle oracle;
    private final RoundTimes roundTimes = new RoundTimes();
    private final List<BenchProcess> processes = new ArrayList<>();
    private final Map<ZoneName, Long> zoneDownUntil = new HashMap<>();
    private final Map<ZoneName, Long> zoneCutUntil = new HashMap<>();
    private final Map<WaveIdentifier, Long> waveStarted = new TreeMap<>();
    private final Map<WaveIdentifier, Long> waveEnded = new HashMap<>();
    private final Map<WaveIdentifier, Long> waveHeldSince = new HashMap<>();
    private long logDownUntil;
    private long now;
    private int generation;
    private double idleHostMilliseconds;
    private double belowPromiseMilliseconds;

    OutcomesDay(List<ConfigurationUnit> units, CapacityPolicy policy, Day day, long seed) {
        this.policy = policy;
        this.day = day;
        this.seed = seed;
        this.random = new Random(seed + 1);
        List<ConfigurationCommand.UnitChange> changes = units.stream()
                .map(unit -> new ConfigurationCommand.UnitChange(unit.fileName(), 0, Optional.of(unit)))
                .toList();
        CommandOutcome outcome = log.append(new ConfigurationCommand.Publish(changes), OPERATOR, 0);
        if (outcome instanceof CommandOutcome.Rejected rejected) {
            throw new CicadaleadException(rejected.kind(), rejected.detail());
        }
        FleetConfiguration configuration = log.newest().configuration().merged();
        stepMilliseconds =
                configuration.hosts().size() < LARGE_FLEET_HOSTS ? STEP_MILLISECONDS : LARGE_STEP_MILLISECONDS;
        hosts = new TrueHosts(configuration.hosts().values(), seed);
        demand = new TrueDemand(configuration, new Random(seed + 2));
        oracle = new OutcomeOracle(hosts);
        configuration.zones().keySet().forEach(this::startProcesses);
    }

    PolicyOutcome play() {
        int next = 0;
        while (now < day.lengthMilliseconds()) {
            now += stepMilliseconds;
            hosts.advance(now);
            while (next < day.incidents().size() && day.incidents().get(next).timeMilliseconds() <= now) {
                apply(day.incidents().get(next));
                next++;
            }
            step();
        }
        return outcome();
    }

    private void step() {
        returnZones();
        Map<PoolName, Double> usage = demand.report(now);
        List<BenchProcess> running =
                processes.stream().filter(process -> !isDown(process.zone())).toList();
        Set<ProcessIdentifier> cutOff = running.stream()
                .filter(process -> isCut(process.zone()))
                .map(BenchProcess::identifier)
                .collect(Collectors.toSet());
        for (BenchProcess process : running) {
            process.setCutOff(isCut(process.zone()));
            if (isCut(process.zone())) {
                continue;
            }
            process.follow(log, now);
            List<Command> commands = process.act(hosts, usage, cutOff, now);
            commands.forEach(command -> append(command, process.identifier()));
            process.reboots().forEach((host, operation) -> {
                if (hosts.reboot(host, operation)) {
                    oracle.judgeReboot(host, running, now);
                }
            });
        }
        operateWaves();
        oracle.judge(log, running, now, stepMilliseconds);
        measure(log.newest());
    }

    private Optional<CommandOutcome> append(Command command, ProcessIdentifier writer) {
        return now < logDownUntil ? Optional.empty() : Optional.of(log.append(command, writer, now));
    }

    private void apply(Incident incident) {
        switch (incident.kind()) {
            case HOST_FAILS -> hosts.fail(new HostName(incident.subject()), incident.lastsMilliseconds());
            case HOST_LEAVES -> hosts.leave(new HostName(incident.subject()), incident.lastsMilliseconds());
            case RACK_FAILS -> failAll(incident, host -> hosts.rack(host).value());
            case ZONE_FAILS -> {
                failAll(incident, host -> hosts.zone(host).value());
                zoneDownUntil.put(new ZoneName(incident.subject()), now + incident.lastsMilliseconds());
            }
            case ZONE_CUT -> zoneCutUntil.put(new ZoneName(incident.subject()), now + incident.lastsMilliseconds());
            case LOG_DOWN -> logDownUntil = now + incident.lastsMilliseconds();
            case WAVE -> startWave();
            case RACING_OPERATORS -> raceOperators();
            case CARELESS_COMMANDS -> carelessCommands(new HostName(incident.subject()));
            default -> throw new IllegalStateException(incident.kind().name());
        }
    }

    private void failAll(Incident incident, java.util.function.Function<HostName, String> place) {
        for (HostName host : hosts.names()) {
            if (place.apply(host).equals(incident.subject())) {
                hosts.fail(host, incident.lastsMilliseconds());
            }
        }
    }

    private void startWave() {
        WaveIdentifier wave = new WaveIdentifier("forced-" + waveStarted.size());
        append(
                new MaintenanceCommand.Start(
                        wave,
                        WaveSelection.ofWholeFleet(),
                        WaveAction.REBOOT,
                        "forced by the operator",
                        now,
                        0,
                        MAXIMUM_FAILURES),
                OPERATOR);
        waveStarted.put(wave, now);
    }

    private void raceOperators() {
        newestWave().ifPresent(wave -> {
            Optional<CommandOutcome> first =
                    append(new MaintenanceCommand.Change(wave.wave(), wave.version(), WaveChange.PAUSE), OPERATOR);
            Optional<CommandOutcome> second =
                    append(new MaintenanceCommand.Change(wave.wave(), wave.version(), WaveChange.RESUME), OPERATOR);
            oracle.judgeRace(isAccepted(first), isAccepted(second), now);
        });
    }

    /** Any move and any grant: the fold alone has to refuse what a budget does not allow. */
    private void carelessCommands(HostName name) {
        SharedState state = log.newest();
        HostState host = state.hosts().get(name);
        List<PoolName> pools =
                List.copyOf(state.configuration().merged().pools().keySet());
        append(new FleetCommand.Withdraw(name, host.version(), pools.get(random.nextInt(pools.size()))), OPERATOR);
        newestWave()
                .ifPresent(wave -> append(
                        new MaintenanceCommand.Grant(
                                wave.wave(),
                                name,
                                log.newest().hosts().get(name).version()),
                        OPERATOR));
    }

    /** The operator resumes a paused or stopped wave after a while, and notes when waves end. */
    private void operateWaves() {
        for (WaveState wave : log.newest().waves().values()) {
            boolean held = wave.phase() == WavePhase.PAUSED || wave.phase() == WavePhase.STOPPED;
            if (wave.phase().isTerminal()) {
                waveEnded.putIfAbsent(wave.wave(), now);
            } else if (!held) {
                waveHeldSince.remove(wave.wave());
            } else if (now - waveHeldSince.computeIfAbsent(wave.wave(), unused -> now) > OPERATOR_MILLISECONDS) {
                append(new MaintenanceCommand.Change(wave.wave(), wave.version(), WaveChange.RESUME), OPERATOR);
            }
        }
    }

    private Optional<WaveState> newestWave() {
        return log.newest().waves().values().stream()
                .filter(wave -> !wave.phase().isTerminal())
                .max(Comparator.comparingLong(WaveState::version));
    }

    private static boolean isAccepted(Optional<CommandOutcome> outcome) {
        return outcome.filter(CommandOutcome.Accepted.class::isInstance).isPresent();
    }

    private void startProcesses(ZoneName zone) {
        for (int count = 0; count < PROCESSES_PER_ZONE; count++) {
            generation++;
            ProcessIdentifier identifier = new ProcessIdentifier(String.format("process-%03d", generation));
            append(
                    new MembershipCommand.Join(
                            identifier, zone, new NetworkAddress("127.0.0.1", generation), Optional.empty()),
                    identifier);
            processes.add(new BenchProcess(identifier, zone, policy, roundTimes, seed + generation));
        }
    }

    /** Members of a lost zone are evicted after a while; the zone returns with new processes. */
    private void returnZones() {
        for (Map.Entry<ZoneName, Long> down : zoneDownUntil.entrySet()) {
            long lostFor = now - (down.getValue() - lengthOfLoss());
            if (lostFor > EVICTION_MILLISECONDS) {
                evict(down.getKey());
            }
        }
        zoneDownUntil.entrySet().removeIf(down -> {
            boolean returned = down.getValue() <= now;
            if (returned) {
                startProcesses(down.getKey());
            }
            return returned;
        });
    }

    private long lengthOfLoss() {
        return day.incidents().stream()
                .filter(incident -> incident.kind() == Day.Kind.ZONE_FAILS)
                .mapToLong(Incident::lastsMilliseconds)
                .max()
                .orElse(0);
    }

    private void evict(ZoneName zone) {
        for (Member member : log.newest().members().values()) {
            if (member.zone().equals(zone)) {
                append(new MembershipCommand.Leave(member.process(), member.version()), OPERATOR);
            }
        }
        processes.removeIf(process -> process.zone().equals(zone));
    }

    private boolean isDown(ZoneName zone) {
        return zoneDownUntil.getOrDefault(zone, 0L) > now;
    }

    private boolean isCut(ZoneName zone) {
        return zoneCutUntil.getOrDefault(zone, 0L) > now;
    }

    private void measure(SharedState state) {
        Map<PoolName, Integer> serving = new HashMap<>();
        for (HostState host : state.hosts().values()) {
            if (host.isAvailable() && hosts.works(host.name())) {
                serving.merge(host.pool(), 1, Integer::sum);
            }
        }
        Map<PoolName, Integer> promised = new HashMap<>();
        for (ServiceDefinition service :
                state.configuration().merged().services().values()) {
            promised.merge(service.pool(), service.budget().promisedHosts(), Math::max);
        }
        for (PoolName pool : state.configuration().merged().pools().keySet()) {
            int have = serving.getOrDefault(pool, 0);
            int owed = promised.getOrDefault(pool, 0);
            int needed = Math.max(owed, (int) Math.ceil(demand.hosts(pool, now)));
            idleHostMilliseconds += (double) Math.max(0, have - needed) * stepMilliseconds;
            belowPromiseMilliseconds += (double) Math.max(0, owed - have) * stepMilliseconds;
        }
    }

    private PolicyOutcome outcome() {
        List<Double> rollOuts = new ArrayList<>();
        int unfinished = 0;
        for (Map.Entry<WaveIdentifier, Long> started : waveStarted.entrySet()) {
            Long ended = waveEnded.get(started.getKey());
            unfinished += ended == null ? 1 : 0;
            rollOuts.add(((ended == null ? now : ended) - started.getValue()) / MILLISECONDS_PER_MINUTE);
        }
        if (waveStarted.isEmpty()) {
            throw new CicadaleadException(ErrorKind.INTERNAL, "The day has no wave");
        }
        List<BenchLog.Entry> entries = log.after(0);
        return new PolicyOutcome(
                policy,
                idleHostMilliseconds / MILLISECONDS_PER_HOUR,
                rollOuts.stream().mapToDouble(Double::doubleValue).average().orElse(0),
                rollOuts,
                unfinished,
                oracle.moves(),
                oracle.violations(),
                oracle.texts(),
                oracle.unplannedMilliseconds() / MILLISECONDS_PER_MINUTE,
                oracle.beyondCoverMilliseconds() / MILLISECONDS_PER_MINUTE,
                belowPromiseMilliseconds / MILLISECONDS_PER_HOUR,
                entries.size(),
                entries.stream().filter(entry -> !entry.isAccepted()).count(),
                roundTimes.medianMicroseconds(),
                roundTimes.nearlyAllMicroseconds(),
                roundTimes.medianKilobytes());
    }
}
