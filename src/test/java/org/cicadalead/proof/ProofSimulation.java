package org.cicadalead.proof;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cicadalead.adapters.quickstart.ExampleDeployment;
import org.cicadalead.logic.state.FoldResult;
import org.cicadalead.logic.state.SharedStateFold;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.ConfigurationCommand;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.command.MaintenanceCommand;
import org.cicadalead.model.command.MembershipCommand;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.error.Execution;
import org.cicadalead.model.fleet.HostCondition;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.fleet.MaintenanceStep;
import org.cicadalead.model.fleet.WaveAction;
import org.cicadalead.model.fleet.WaveSelection;
import org.cicadalead.model.identity.CommandIdentifier;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.RackName;
import org.cicadalead.model.identity.RequestIdentifier;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.identity.TeamName;
import org.cicadalead.model.identity.WaveIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.request.AttemptOutcome;
import org.cicadalead.model.request.RequestTerms;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.support.Commands;

/** Simulates the platform, hosts, callers and entry processes in virtual time; all randomness comes from one seed. */
final class ProofSimulation {
    private static final long TICK_NANOSECONDS = Duration.ofMillis(250).toNanos();
    private static final long REBOOT_NANOSECONDS = Duration.ofSeconds(2).toNanos();
    private static final long LIST_LAG_NANOSECONDS = Duration.ofSeconds(2).toNanos();
    private static final long REMOVAL_DELAY_NANOSECONDS = Duration.ofSeconds(20).toNanos();
    private static final int MAX_RUN_TICKS = 5;
    private static final int DELAY_TICKS_BOUND = 8;
    private static final int MAX_TIMELINE_LINES = 60;

    private final Mutation mutation;
    private final Random random;
    private final Oracle oracle = new Oracle();
    private final List<CommandEnvelope> log = new ArrayList<>();
    private final Map<HostName, ProofHost> hosts = new TreeMap<>();
    private final List<ProofProcess> processes = new ArrayList<>();
    private final Map<ProcessIdentifier, Long> endedAt = new HashMap<>();
    private final Map<ProofProcess, Long> reachableSince = new HashMap<>();
    private final Set<ZoneName> partitionedZones = new HashSet<>();
    private final List<ProofRequest> requests = new ArrayList<>();
    private final List<String> timeline = new ArrayList<>();
    private final Set<String> observations = new TreeSet<>();
    private final List<ListSnapshot> listSnapshots = new ArrayList<>();
    private SharedState authoritativeState = SharedState.empty();
    private boolean platformDown;
    private Optional<RackName> failedRack = Optional.empty();
    private Optional<HostName> leavingHost = Optional.empty();
    private long acceptedAt;
    private long now = TICK_NANOSECONDS;
    private int repliesToLose;
    private int startedProcesses;

    ProofSimulation(Mutation mutation, long seed) {
        this.mutation = mutation;
        this.random = new Random(seed);
        append(
                "operator",
                new ConfigurationCommand.Publish(ExampleDeployment.load("blue-mountain").units().stream()
                        .map(unit -> new ConfigurationCommand.UnitChange(unit.fileName(), 0, Optional.of(unit)))
                        .toList()));
        authoritativeState.hosts().keySet().forEach(name -> hosts.put(name, new ProofHost(name)));
        for (ZoneName zone : authoritativeState.configuration().merged().zones().keySet()) {
            startProcess(zone);
            startProcess(zone);
        }
        runTicks(8);
    }

    long now() {
        return now;
    }

    Mutation mutation() {
        return mutation;
    }

    long randomDelay() {
        return random.nextInt(DELAY_TICKS_BOUND) * TICK_NANOSECONDS;
    }

    /** Returns the newest lines of the timeline of events. */
    String timeline() {
        return String.join("\n", timeline.subList(Math.max(0, timeline.size() - MAX_TIMELINE_LINES), timeline.size()));
    }

    void runStep(ProofStep step) {
        recordTimeline(step.toString());
        switch (step.kind()) {
            case SUBMIT -> submitRequests(step);
            case FAIL_RACK -> failRack(step.first());
            case REPAIR_HOSTS -> repairHosts();
            case ANNOUNCE_LEAVING -> announceLeaving(step.first());
            case CUT_ZONE -> partitionedZones.add(pickZone(step.first()));
            case RESTORE_CONNECTIONS -> restoreConnections();
            case PLATFORM_DOWN -> platformDown = true;
            case PAUSE -> pickProcess(step.first()).ifPresent(process -> process.setPaused(true));
            case RESUME -> processes.forEach(process -> process.setPaused(false));
            case KILL -> killProcess(step.first());
            case STOP -> pickProcess(step.first()).ifPresent(this::stopProcess);
            case START -> startProcess(pickZone(step.first()));
            case LOSE_REPLIES -> repliesToLose += 1 + step.first() % 5;
            case PUBLISH -> publishTeam(step.first());
            case START_WAVE -> startWave(step.first());
            case MOVE -> withdrawHost(step);
            default -> throw new IllegalStateException(step.toString());
        }
        runTicks(1 + step.second() % 10);
    }

    /** Ends all faults, runs until the outstanding work is done, and checks the outcomes that callers received. */
    void finish() {
        repliesToLose = 0;
        restoreConnections();
        repairHosts();
        processes.forEach(process -> process.setPaused(false));
        runTicks(80);
        requests.forEach(oracle::refusedRequestsDidNotRun);
        requests.forEach(
                request -> request.reportedExecution().ifPresent(execution -> observations.add(execution.name())));
    }

    /** Returns what the history covered: the names of accepted commands, and the outcomes that callers received. */
    Set<String> observations() {
        return observations;
    }

    /** Appends a command of a process if the process can reach the platform; sometimes twice, as after a lost reply. */
    void append(ProofProcess process, Command command) {
        if (canReachPlatform(process)) {
            append(process.identifier().value(), command);
        }
    }

    void respond(ProofRequest request) {
        int respondedNumber = request.number();
        if (mutation == Mutation.MIXES_UP_RESPONSES) {
            respondedNumber--;
        }
        oracle.callersGetTheirOwnAnswer(request, respondedNumber, request.isCompleted());
        request.report(Execution.RAN);
    }

    void send(ProofProcess sender, ProofRequest request, HostName name, Optional<Long> leavingKnownSince) {
        ProofHost host = hosts.get(name);
        ZoneName zone = findHostDefinition(name).zone();
        boolean reachable = zone.equals(sender.zone())
                || (!partitionedZones.contains(zone) && !partitionedZones.contains(sender.zone()));
        if (!reachable || !host.isResponding()) {
            sender.onAttemptEnd(request, AttemptOutcome.NOT_CONNECTED);
            return;
        }
        leavingKnownSince.ifPresent(since -> oracle.leavingHostsGetNoNewWork(name, since, now));
        oracle.workReachesOnlyTheHostsPool(authoritativeState, request, name);
        request.recordRun();
        oracle.nonIdempotentRequestsRunOnce(request);
        oracle.refusedRequestsDidNotRun(request);
        host.runs()
                .add(new ProofHost.Run(request, sender, now + (1 + random.nextInt(MAX_RUN_TICKS)) * TICK_NANOSECONDS));
    }

    /** Reboots a host unless this reboot was already requested; a reboot in a wave must find no request in flight. */
    HostCondition reboot(ProofProcess process, HostName name, long rebootNumber, boolean graceful) {
        ProofHost host = hosts.get(name);
        if (canReachPlatform(process) && host.updateCondition(now).operation() < rebootNumber) {
            if (graceful) {
                oracle.plannedStopsCutNothingOff(name + " " + host.runs(), host.countAwaitedRuns());
            }
            host.runs().clear();
            host.reboot(rebootNumber, now + REBOOT_NANOSECONDS);
            recordTimeline("reboot of " + name);
        }
        return host.updateCondition(now);
    }

    HostCondition updateHostCondition(HostName name) {
        return hosts.get(name).updateCondition(now);
    }

    /** Returns the platform's list of hosts, which lags; empty if the process cannot reach the platform. */
    Optional<Map<HostName, HostHealth>> listHosts(ProofProcess process) {
        return canReachPlatform(process)
                ? listSnapshots.stream()
                        .filter(list -> list.time() <= now - LIST_LAG_NANOSECONDS)
                        .reduce((earlier, later) -> later)
                        .map(ListSnapshot::hosts)
                : Optional.empty();
    }

    /** Returns the processes that certainly cannot reach the hosts of a zone. */
    Set<ProcessIdentifier> findProcessesCutOffFrom(ZoneName zone) {
        Set<ProcessIdentifier> cutOff = new HashSet<>(endedAt.keySet());
        for (ProofProcess process : processes) {
            boolean isSeparated = partitionedZones.contains(zone) || partitionedZones.contains(process.zone());
            if (isSeparated && !process.zone().equals(zone)) {
                cutOff.add(process.identifier());
            }
        }
        return cutOff;
    }

    private void runTicks(int count) {
        for (int tick = 0; tick < count; tick++) {
            now += TICK_NANOSECONDS;
            listSnapshots.add(createListSnapshot());
            listSnapshots.removeIf(list -> list.time() < now - 2 * LIST_LAG_NANOSECONDS);
            hosts.values().forEach(this::finishRuns);
            removeEndedMembers();
            for (ProofProcess process : List.copyOf(processes)) {
                runTick(process);
            }
            oracle.budgetsHold(authoritativeState, hosts);
        }
    }

    private void runTick(ProofProcess process) {
        if (process.isPaused() || !canReachPlatform(process)) {
            reachableSince.remove(process);
        } else {
            reachableSince.putIfAbsent(process, now);
        }
        if (process.isPaused()) {
            return;
        }
        if (canReachPlatform(process)) {
            process.readLog(log, random.nextInt(4) == 0 ? 1 : 0);
        }
        process.tick();
        long since = reachableSince.getOrDefault(process, now);
        oracle.configurationNeverReverts(
                process, authoritativeState.configuration().version(), Math.max(since, acceptedAt), now);
        if (process.isStopping() && process.countInFlight() == 0) {
            endProcess(process);
        }
    }

    private void finishRuns(ProofHost host) {
        host.updateCondition(now);
        for (ProofHost.Run run : List.copyOf(host.runs())) {
            if (run.end() > now) {
                continue;
            }
            host.runs().remove(run);
            boolean isReplyLost = repliesToLose > 0;
            repliesToLose -= isReplyLost ? 1 : 0;
            run.sender().receive(run.request(), isReplyLost ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.ANSWERED);
        }
    }

    private ListSnapshot createListSnapshot() {
        Map<HostName, HostHealth> listed = new HashMap<>();
        hosts.forEach((name, host) -> {
            if (host.health() != HostHealth.DOWN) {
                listed.put(name, host.health());
            }
        });
        return new ListSnapshot(now, listed);
    }

    private void submitRequests(ProofStep step) {
        List<ServiceName> services = List.copyOf(
                authoritativeState.configuration().merged().services().keySet());
        ServiceName service = services.get(step.first() % services.size());
        for (int count = 0; count <= step.second(); count++) {
            ProofRequest request = new ProofRequest(
                    requests.size() + 1,
                    new RequestTerms(
                            new RequestIdentifier("request-" + requests.size()),
                            service,
                            new TeamName("kitchens"),
                            RequestTerms.DEFAULT_URGENCY,
                            random.nextBoolean(),
                            now,
                            now + ProofProcess.timeoutNanoseconds()));
            requests.add(request);
            pickProcess(step.first())
                    .filter(process -> !process.isPaused())
                    .ifPresentOrElse(process -> process.submit(request), () -> request.report(Execution.UNKNOWN));
        }
    }

    /** Fails a rack, unless another unplanned failure is active: budgets cover only one at a time. */
    private void failRack(int number) {
        if (failedRack.isPresent() || leavingHost.isPresent()) {
            return;
        }
        List<RackName> racks = authoritativeState.configuration().merged().hosts().values().stream()
                .map(HostDefinition::rack)
                .distinct()
                .toList();
        failedRack = Optional.of(racks.get(number % racks.size()));
        for (ProofHost host : findRackHosts(failedRack.get())) {
            List<ProofHost.Run> interruptedRuns = List.copyOf(host.runs());
            host.setHealth(HostHealth.DOWN, now);
            interruptedRuns.forEach(run -> run.sender().receive(run.request(), AttemptOutcome.CONNECTION_LOST));
        }
    }

    private void announceLeaving(int number) {
        if (failedRack.isEmpty() && leavingHost.isEmpty()) {
            ProofHost host = List.copyOf(hosts.values()).get(number % hosts.size());
            host.setHealth(HostHealth.LEAVING, now);
            leavingHost = Optional.of(host.name());
        }
    }

    private void repairHosts() {
        failedRack.ifPresent(rack -> findRackHosts(rack).forEach(host -> host.setHealth(HostHealth.UP, now)));
        leavingHost.ifPresent(name -> hosts.get(name).setHealth(HostHealth.UP, now));
        failedRack = Optional.empty();
        leavingHost = Optional.empty();
    }

    private List<ProofHost> findRackHosts(RackName rack) {
        return hosts.values().stream()
                .filter(host -> findHostDefinition(host.name()).rack().equals(rack))
                .toList();
    }

    private void restoreConnections() {
        partitionedZones.clear();
        platformDown = false;
    }

    private void startProcess(ZoneName zone) {
        if (platformDown || partitionedZones.contains(zone) || processes.size() >= 8) {
            return;
        }
        startedProcesses++;
        ProofProcess process = new ProofProcess(this, new ProcessIdentifier("process-" + startedProcesses), zone);
        processes.add(process);
        append(
                process,
                new MembershipCommand.Join(
                        process.identifier(),
                        zone,
                        new NetworkAddress("127.0.0.1", startedProcesses),
                        Optional.empty()));
    }

    private void killProcess(int number) {
        pickProcess(number).ifPresent(process -> {
            processes.remove(process);
            endedAt.put(process.identifier(), now);
            process.breakConnections();
        });
    }

    private void stopProcess(ProofProcess process) {
        process.stop();
        if (mutation == Mutation.STOPS_WITHOUT_DRAINING) {
            endProcess(process);
        }
    }

    private void endProcess(ProofProcess process) {
        oracle.plannedStopsCutNothingOff(process.identifier(), process.countInFlight());
        Optional.ofNullable(authoritativeState.members().get(process.identifier()))
                .ifPresent(member -> append(process, new MembershipCommand.Leave(member.process(), member.version())));
        processes.remove(process);
        endedAt.put(process.identifier(), now);
    }

    /**
     * Removes members whose process has ended. In production, members are removed only when there is evidence that they
     * ended; here an operator or a peer that can reach the log does so.
     */
    private void removeEndedMembers() {
        endedAt.forEach((identifier, time) -> Optional.ofNullable(
                        authoritativeState.members().get(identifier))
                .filter(member -> now - time > REMOVAL_DELAY_NANOSECONDS && !platformDown)
                .ifPresent(
                        member -> append("remover", new MembershipCommand.Leave(member.process(), member.version()))));
    }

    private void publishTeam(int share) {
        if (platformDown) {
            return;
        }
        String file = "99-absorbed.toml";
        long version = Optional.ofNullable(
                        authoritativeState.configuration().units().get(file))
                .map(unit -> unit.version())
                .orElse(0L);
        append("operator", Commands.publish(Commands.change(Commands.team(file, 1 + share), version)));
    }

    private void startWave(int number) {
        if (!platformDown) {
            List<PoolName> pools = List.copyOf(
                    authoritativeState.configuration().merged().pools().keySet());
            WaveSelection selection =
                    new WaveSelection(List.of(pools.get(number % pools.size())), List.of(), List.of(), List.of());
            append(
                    "operator",
                    new MaintenanceCommand.Start(
                            new WaveIdentifier("wave-" + log.size()), selection, WaveAction.REBOOT, "proof", 0, 0, 2));
        }
        if (mutation == Mutation.REMOVES_HOSTS_WITHOUT_BUDGET) {
            for (HostState host : authoritativeState.hosts().values()) {
                authoritativeState = authoritativeState.withHost(
                        host.withMaintenance(host.version(), MaintenanceStep.DRAINING, host.wave()));
            }
        }
    }

    private void withdrawHost(ProofStep step) {
        if (platformDown) {
            return;
        }
        List<HostState> hostStates = List.copyOf(authoritativeState.hosts().values());
        List<PoolName> pools =
                List.copyOf(authoritativeState.configuration().merged().pools().keySet());
        HostState host = hostStates.get(step.first() % hostStates.size());
        append(
                "operator",
                new FleetCommand.Withdraw(host.name(), host.version(), pools.get(step.second() % pools.size())));
    }

    private void append(String writer, Command command) {
        CommandEnvelope envelope = new CommandEnvelope(
                CommandEnvelope.CURRENT_FORMAT,
                new CommandIdentifier(writer + "-" + log.size()),
                new ProcessIdentifier(writer),
                authoritativeState.offset(),
                command);
        appendAndFold(envelope);
        if (random.nextInt(8) == 0) {
            appendAndFold(envelope);
        }
    }

    private void appendAndFold(CommandEnvelope envelope) {
        log.add(envelope);
        FoldResult result = SharedStateFold.apply(authoritativeState, log.size(), Optional.of(envelope));
        if (result.state().configuration().version()
                > authoritativeState.configuration().version()) {
            acceptedAt = now;
        }
        authoritativeState = result.state();
        if (result.outcome() instanceof CommandOutcome.Accepted) {
            observations.add(envelope.command().getClass().getSimpleName());
            recordTimeline(log.size() + " " + envelope.writer() + " " + envelope.command());
        }
    }

    private boolean canReachPlatform(ProofProcess process) {
        return !platformDown && !partitionedZones.contains(process.zone());
    }

    private Optional<ProofProcess> pickProcess(int number) {
        return processes.isEmpty() ? Optional.empty() : Optional.of(processes.get(number % processes.size()));
    }

    private ZoneName pickZone(int number) {
        List<ZoneName> zones =
                List.copyOf(authoritativeState.configuration().merged().zones().keySet());
        return zones.get(number % zones.size());
    }

    private HostDefinition findHostDefinition(HostName name) {
        return authoritativeState.configuration().merged().hosts().get(name);
    }

    private void recordTimeline(String line) {
        timeline.add(Duration.ofNanos(now).toMillis() + " ms " + line.substring(0, Math.min(200, line.length())));
    }

    private record ListSnapshot(long time, Map<HostName, HostHealth> hosts) {}
}
