package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.cicadalead.model.work.MachineCondition;

/** Injects faults that come together, each reported to the oracle as a disruption by the {@link FaultInjector}. */
final class CombinedFaultInjector {
    private static final int MAX_SUCCESSIONS = 5;
    private static final int MAX_HOSTS = 3;
    private static final int MAX_DISTANCE_MILLISECONDS = 3_000;
    private static final long FOREVER_MILLISECONDS = 1_000_000;

    private final SimulatedFleet fleet;
    private final SimulatedElection election;
    private final FaultInjector injector;
    private final Random random;

    CombinedFaultInjector(SimulatedFleet fleet, SimulatedElection election, FaultInjector injector) {
        this.fleet = fleet;
        this.election = election;
        this.injector = injector;
        this.random = fleet.random;
    }

    /** Begins the faults of a kind; they take several seconds. */
    void inject(CombinedFault fault) {
        Consumer<SimulatedMachine> harm =
                switch (fault) {
                    case HOSTS_LOST_WITH_LEADER, ALL_PROCESSES_KILLED -> this::lose;
                    case HOSTS_CUT_OFF_WITH_LEADER -> this::cutOffForLong;
                    case HOSTS_RESTARTED_BEHIND_CUT -> this::restartBehindCut;
                    case IDLE_HOST_REPLACED -> this::replaceIdleHost;
                };
        chooseMachines(fault).forEach(machine -> fleet.after(distance(), () -> harm.accept(machine)));
        endLeaders(fault == CombinedFault.ALL_PROCESSES_KILLED ? this::killAllProcesses : this::endLeader);
    }

    /** Returns how long after the begin a fault comes: often the same moment for all. */
    private long distance() {
        return random.nextBoolean() ? 0 : random.nextInt(MAX_DISTANCE_MILLISECONDS);
    }

    private List<SimulatedMachine> chooseMachines(CombinedFault fault) {
        List<SimulatedMachine> machines = new ArrayList<>(fleet.machines());
        if (fault == CombinedFault.IDLE_HOST_REPLACED) {
            machines.removeIf(machine -> !machine.host.running().isEmpty());
        }
        Collections.shuffle(machines, random);
        return machines.subList(0, Math.min(machines.size(), 1 + random.nextInt(MAX_HOSTS)));
    }

    /** Ends one to five leaders; quick successions end some before they have read their data. */
    private void endLeaders(Runnable end) {
        long delay = distance();
        fleet.after(delay, end);
        for (int number = 1 + random.nextInt(MAX_SUCCESSIONS); number > 1; number--) {
            delay += 150L + random.nextInt(3_500);
            fleet.after(delay, random.nextInt(3) == 0 ? end : this::endLeader);
        }
    }

    private void endLeader() {
        if (random.nextInt(4) == 0) {
            injector.endLeader();
            return;
        }
        election.leader().ifPresent(leader -> {
            fleet.oracle.onDisruption();
            leader.crash();
            injector.claimAfterRestart();
        });
    }

    private void killAllProcesses() {
        long downMilliseconds = 100L + random.nextInt(900);
        long startMilliseconds = 1_000L + random.nextInt(1_500);
        fleet.oracle.onDisruptionFor(downMilliseconds);
        election.restartAll(downMilliseconds + startMilliseconds, random.nextInt(3) == 0);
    }

    private void lose(SimulatedMachine machine) {
        injector.crash(machine, FOREVER_MILLISECONDS);
    }

    /** Cuts a host off until after the next calm period; in half of the cases the registry forgets it. */
    private void cutOffForLong(SimulatedMachine machine) {
        SimulatedHost host = machine.host;
        injector.cutOff(host, 30_000L + random.nextInt(20_000));
        if (random.nextBoolean()) {
            fleet.after(injector.registryExpiry(), () -> injector.unregisterWhileCutOff(host));
        }
    }

    /** Restarts a host that is cut off; in half of the cases the registry is cut off from it too. */
    private void restartBehindCut(SimulatedMachine machine) {
        SimulatedHost host = machine.host;
        if (!host.up || !host.reachable || machine.condition != MachineCondition.UP) {
            return;
        }
        long crashDelay = random.nextInt(3_000);
        long restartDelay = crashDelay + 100L + random.nextInt(2_000);
        long returnDelay = restartDelay + random.nextInt(random.nextBoolean() ? 1_500 : 20_000);
        injector.cutOff(host, returnDelay);
        fleet.after(crashDelay, () -> injector.crashAndRestart(machine, restartDelay - crashDelay));
        if (random.nextBoolean()) {
            fleet.after(restartDelay + 50, () -> injector.unregisterWhileCutOff(host));
        }
    }

    private void replaceIdleHost(SimulatedMachine machine) {
        if (machine.host.running().isEmpty()) {
            injector.crashAndReplace(machine, 300L + random.nextInt(3_000));
        }
    }
}
