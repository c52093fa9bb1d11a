package org.cicadalead.adapters.membership;

import static org.cicadalead.support.Commands.change;
import static org.cicadalead.support.Commands.publish;
import static org.cicadalead.support.Commands.unit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.cicadalead.logic.state.FoldResult;
import org.cicadalead.logic.state.SharedStateFold;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.CommandIdentifier;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.state.SharedState;

/** Simulates several processes with fake ports, one log and a few hosts in virtual time. */
final class MoveSimulation {
    static final List<PoolName> POOLS = List.of(new PoolName("blue"), new PoolName("red"));

    private static final String DEPLOYMENT_TOML =
            """
            [deployment]
            name = "world"
            first-measure = "moves"
            [[zone]]
            name = "east"
            region = "region"
            [[zone]]
            name = "west"
            region = "region"
            [[host]]
            name = "east-1"
            zone = "east"
            rack = "east-rack"
            address = "127.0.0.1:1001"
            processors = 4
            memory-gigabytes = 4
            [[host]]
            name = "west-1"
            zone = "west"
            rack = "west-rack"
            address = "127.0.0.1:1002"
            processors = 4
            memory-gigabytes = 4
            [[pool]]
            name = "red"
            hosts = ["east-1", "west-1"]
            [[pool]]
            name = "blue"
            hosts = []
            """;

    final List<MoveSimulationProcess> processes = new ArrayList<>();
    final Mutation mutation;
    private final List<CommandEnvelope> records = new ArrayList<>();
    private final Set<Set<ProcessIdentifier>> disconnectedPairs = new HashSet<>();
    private final List<Runnable> messages = new ArrayList<>();
    private final Map<HostName, Integer> reboots = new HashMap<>();
    private SharedState committedState = SharedState.empty();
    private boolean areZonesDisconnected;
    private boolean areMessagesHeld;
    private long nowNanoseconds = 1;

    MoveSimulation(Mutation mutation) {
        this.mutation = mutation;
        append(new ProcessIdentifier("operator"), publish(change(unit("world.toml", DEPLOYMENT_TOML), 0)));
        for (String zone : List.of("east", "east", "west", "west")) {
            startProcess(new ZoneName(zone));
        }
        advance(Duration.ofSeconds(2));
    }

    SharedState committedState() {
        return committedState;
    }

    List<CommandEnvelope> recordsFrom(long offset) {
        return records.subList((int) Math.min(records.size(), offset - 1), records.size());
    }

    long nowNanoseconds() {
        return nowNanoseconds;
    }

    void startProcess(ZoneName zone) {
        MoveSimulationProcess process = new MoveSimulationProcess(this, processes.size(), zone);
        processes.add(process);
        process.start();
    }

    MoveSimulationProcess process(int index) {
        return processes.get(Math.floorMod(index, processes.size()));
    }

    /** Appends a record and returns its identifier. */
    CommandIdentifier append(ProcessIdentifier writer, Command command) {
        CommandIdentifier identifier = new CommandIdentifier("command-" + records.size());
        CommandEnvelope envelope = new CommandEnvelope(
                CommandEnvelope.CURRENT_FORMAT, identifier, writer, committedState.offset(), command);
        SharedState previousState = committedState;
        records.add(envelope);
        FoldResult result = SharedStateFold.apply(committedState, records.size(), Optional.of(envelope));
        committedState = result.state();
        if (command instanceof FleetCommand fleet) {
            MoveOracle.checkFoldedRecord(previousState, fleet, result.outcome());
        }
        for (HostState host : committedState.hosts().values()) {
            HostState previousHost = previousState.hosts().get(host.name());
            if (previousHost != null && !previousHost.pool().equals(host.pool())) {
                MoveOracle.checkAssignment(host, findRunningPools(host.name(), (FleetCommand.Assign) command));
            }
        }
        return identifier;
    }

    private List<PoolName> findRunningPools(HostName host, FleetCommand.Assign assign) {
        return processes.stream()
                .filter(process -> process.isAlive && !assign.lapsed().contains(process.identifier()))
                .flatMap(process -> process.findRunningPools(host).stream())
                .toList();
    }

    /** Withdraws a host as an operator, who always reaches the log. */
    void withdraw(HostName host, PoolName destination) {
        append(
                new ProcessIdentifier("operator"),
                new FleetCommand.Withdraw(host, committedState.hosts().get(host).version(), destination));
    }

    void cancel(HostName host) {
        committedState
                .hosts()
                .get(host)
                .move()
                .ifPresent(move -> append(
                        new ProcessIdentifier("operator"),
                        new FleetCommand.CancelMove(new FleetCommand.HostMove(host, move.version()))));
    }

    void advance(Duration duration) {
        long end = nowNanoseconds + duration.toNanos();
        while (nowNanoseconds < end) {
            nowNanoseconds =
                    Math.min(end, nowNanoseconds + Duration.ofMillis(250).toNanos());
            List.copyOf(processes).forEach(MoveSimulationProcess::runOnce);
            deliverMessages();
        }
    }

    void send(Runnable message) {
        messages.add(message);
    }

    void setMessagesHeld(boolean isHeld) {
        areMessagesHeld = isHeld;
    }

    void disconnect(MoveSimulationProcess first, MoveSimulationProcess second) {
        if (first != second) {
            disconnectedPairs.add(Set.of(first.identifier(), second.identifier()));
        }
    }

    void disconnectZones() {
        areZonesDisconnected = true;
    }

    void reconnectAll() {
        areZonesDisconnected = false;
        areMessagesHeld = false;
        disconnectedPairs.clear();
        processes.forEach(process -> process.isLogUnreachable = false);
    }

    boolean areConnected(MoveSimulationProcess first, MoveSimulationProcess second) {
        if (first == second) {
            return true;
        }
        return !disconnectedPairs.contains(Set.of(first.identifier(), second.identifier()))
                && (!areZonesDisconnected || first.zone().equals(second.zone()));
    }

    boolean canReach(MoveSimulationProcess process, HostName host) {
        return !areZonesDisconnected || host.value().startsWith(process.zone().value());
    }

    int countReboots(HostName host) {
        return reboots.getOrDefault(host, 0);
    }

    CompletableFuture<Boolean> reboot(HostName host) {
        if (mutation != Mutation.NO_REBOOT) {
            reboots.merge(host, 1, Integer::sum);
        }
        return CompletableFuture.completedFuture(true);
    }

    /**
     * Repairs all faults, starts a process in each zone and advances the time. A move that still waits after that would
     * never finish.
     */
    void recover() {
        reconnectAll();
        for (MoveSimulationProcess process : processes) {
            process.isPaused = false;
            process.finishWork();
        }
        for (String zone : List.of("east", "west")) {
            startProcess(new ZoneName(zone));
        }
        advance(Duration.ofSeconds(90));
    }

    private void deliverMessages() {
        if (areMessagesHeld) {
            return;
        }
        List<Runnable> delivered = List.copyOf(messages);
        messages.clear();
        delivered.forEach(Runnable::run);
    }

    /** Faults injected into the processes, to show that the oracle detects them. */
    enum Mutation {
        /** No fault. */
        NONE,
        /** A process acknowledges while it has work in flight. */
        ACKNOWLEDGES_WITH_WORK_IN_FLIGHT,
        /** A process sends work without checking its view. */
        SENDS_WITHOUT_A_CHECK,
        /** View leases never expire. */
        LEASES_NEVER_LAPSE,
        /** Hosts are not rebooted after leases have expired. */
        NO_REBOOT,
        /** Members that are cut off are treated as ended. */
        SILENCE_COUNTS_AS_END
    }
}
