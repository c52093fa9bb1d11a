package org.cicadalead.logic.work;

import java.util.Optional;
import java.util.Random;
import org.cicadalead.model.work.MachineCondition;

/** Injects the faults of a simulated fleet at random, and reports each to the oracle as a disruption. */
final class FaultInjector {
    private static final double SECONDS_PER_CALL = 0.4;
    private static final int REGISTRY_INTERVAL_MILLISECONDS = 1_500;
    private static final long FOREVER_MILLISECONDS = 1_000_000;
    private static final int MIN_TERMS_OF_SUCCESSION = 3;
    private static final int MAX_TERMS_OF_SUCCESSION = 6;
    private static final double COMBINED_FAULTS_PER_SECOND = 0.15;

    private final SimulatedFleet fleet;
    private final SimulatedElection election;
    private final Random random;
    private final CombinedFaultInjector combined;

    FaultInjector(SimulatedFleet fleet, SimulatedElection election) {
        this.fleet = fleet;
        this.election = election;
        this.random = fleet.random;
        this.combined = new CombinedFaultInjector(fleet, election, this);
    }

    private boolean occurs(double probabilityPerSecond) {
        return random.nextDouble() < probabilityPerSecond * SECONDS_PER_CALL;
    }

    /** Decides whether a message is lost or late. */
    boolean loses(double ratio) {
        boolean lost = random.nextDouble() < ratio;
        if (lost) {
            fleet.oracle.onDisruption();
        }
        return lost;
    }

    /** Lets the leader move or maintain a machine, which is planned work. */
    void orderMachines(FleetFaults faults) {
        if (occurs(faults.machineOrder())) {
            SimulatedMachine machine = chooseMachine();
            String pool = fleet.services().get(random.nextInt(fleet.services().size()));
            Optional<String> target = pool.equals(machine.pool) ? Optional.empty() : Optional.of(pool);
            if (machine.condition == MachineCondition.UP) {
                election.leader()
                        .flatMap(SimulatedTerm::scheduling)
                        .ifPresent(loaded -> loaded.machines.empty(machine, target));
            }
        }
    }

    private SimulatedMachine chooseMachine() {
        return fleet.machines().get(random.nextInt(fleet.machines().size()));
    }

    void inject(FleetFaults faults) {
        int count = fleet.machines().size();
        for (SimulatedMachine machine : fleet.machines()) {
            SimulatedHost host = machine.host;
            if (occurs(faults.crash() / count * 2)) {
                crash(machine, 1_000L + random.nextInt(4_000));
            }
            if (occurs(faults.partition() / count * 2)) {
                cutOff(host, 500L + random.nextInt(9_000));
            }
            if (occurs(faults.failingHost() / count)) {
                host.failing = true;
                fleet.oracle.onDisruptionFor(3_000);
                fleet.after(3_000, () -> host.failing = false);
            }
            if (occurs(faults.slowHost() / count)) {
                host.slowness = 6;
                fleet.oracle.onDisruptionFor(5_000);
                fleet.after(5_000, () -> host.slowness = 1);
            }
        }
        if (occurs(faults.loss())) {
            crash(chooseMachine(), FOREVER_MILLISECONDS);
        }
        if (occurs(faults.rackOutage())) {
            failRack();
        }
        if (occurs(faults.zonePartition())) {
            cutZoneOfLeader();
        }
        if (occurs(faults.takeover())) {
            fleet.oracle.onDisruption();
            election.takeOver();
        }
        if (occurs(faults.succession())) {
            succeedQuickly();
        }
        if (occurs(faults.pause())) {
            pauseLeader(300L + random.nextInt(6_000));
        }
        if (occurs(faults.storeOutage())) {
            long milliseconds = 500L + random.nextInt(5_000);
            fleet.store.downUntil = fleet.now() + milliseconds;
            fleet.oracle.onDisruptionFor(milliseconds);
        }
        faults.combined().ifPresent(this::injectCombined);
    }

    /** Draws from the random numbers, so that it must not be called for kinds without such faults. */
    private void injectCombined(CombinedFault fault) {
        if (occurs(COMBINED_FAULTS_PER_SECOND)) {
            combined.inject(fault);
        }
    }

    /** Ends the host of a machine; after a time it returns under its identifier or another one. */
    void crash(SimulatedMachine machine, long milliseconds) {
        crash(machine, milliseconds, () -> {
            if (random.nextInt(3) == 0) {
                fleet.replaceHost(machine);
            } else {
                restart(machine);
            }
        });
    }

    /** Ends the host of a machine; after a time it returns under its identifier. */
    void crashAndRestart(SimulatedMachine machine, long milliseconds) {
        crash(machine, milliseconds, () -> restart(machine));
    }

    /** Ends the host of a machine; after a time the machine has a host under another identifier. */
    void crashAndReplace(SimulatedMachine machine, long milliseconds) {
        crash(machine, milliseconds, () -> fleet.replaceHost(machine));
    }

    /** Ends a host that runs a task which crashes it; it is back after some seconds. */
    void crashByTask(SimulatedHost host) {
        for (SimulatedMachine machine : fleet.machines()) {
            if (machine.host == host) {
                crash(machine, 3_000L + random.nextInt(600));
            }
        }
    }

    private void restart(SimulatedMachine machine) {
        machine.host.restart(fleet.now());
        machine.condition = MachineCondition.UP;
    }

    private void crash(SimulatedMachine machine, long milliseconds, Runnable comeBack) {
        SimulatedHost host = machine.host;
        if (!host.up || machine.condition != MachineCondition.UP) {
            return;
        }
        fleet.oracle.onCrash(host);
        host.crash();
        machine.condition = MachineCondition.DOWN;
        fleet.oracle.onHostLost();
        long crashedLife = host.processStart;
        fleet.after(registryExpiry(), () -> host.registered = host.registered && host.processStart != crashedLife);
        fleet.after(milliseconds, () -> {
            fleet.oracle.onDisruption();
            comeBack.run();
        });
    }

    /** Returns the time until the registry forgets a silent host: three intervals after it wrote its entry. */
    long registryExpiry() {
        return 2L * REGISTRY_INTERVAL_MILLISECONDS + random.nextInt(REGISTRY_INTERVAL_MILLISECONDS);
    }

    /** Cuts a host off from every leader for a time; its runs work on until their lease expires. */
    void cutOff(SimulatedHost host, long milliseconds) {
        if (!host.up || !host.reachable) {
            return;
        }
        host.reachable = false;
        fleet.oracle.onHostLost();
        fleet.after(milliseconds, () -> {
            host.reachable = true;
            fleet.oracle.onDisruption();
        });
    }

    /** Removes a host that is cut off from the registry, until it is reachable again. */
    void unregisterWhileCutOff(SimulatedHost host) {
        host.registered = host.reachable && host.registered;
        if (!host.reachable) {
            fleet.after(REGISTRY_INTERVAL_MILLISECONDS / 10, () -> registerWhenReachable(host));
        }
    }

    private void registerWhenReachable(SimulatedHost host) {
        if (host.reachable) {
            host.registered = host.up;
        } else {
            fleet.after(REGISTRY_INTERVAL_MILLISECONDS / 10, () -> registerWhenReachable(host));
        }
    }

    private void failRack() {
        String rack = chooseMachine().rack;
        boolean losesPower = random.nextBoolean();
        long milliseconds = 1_000L + random.nextInt(8_000);
        for (SimulatedMachine machine : fleet.machines()) {
            if (machine.rack.equals(rack)) {
                if (losesPower) {
                    crash(machine, milliseconds);
                } else {
                    cutOff(machine.host, milliseconds);
                }
            }
        }
    }

    /** Cuts the leader's availability zone off; the registry forgets its hosts while they are silent. */
    private void cutZoneOfLeader() {
        Optional<SimulatedTerm> leader = election.leader();
        if (leader.isEmpty() || fleet.network.hasCutZone()) {
            return;
        }
        String zone = leader.get().zone;
        long milliseconds = 1_000L + random.nextInt(9_000);
        fleet.network.cutOff(zone);
        fleet.oracle.onDisruptionFor(milliseconds);
        fleet.after(registryExpiry(), () -> {
            if (fleet.network.isCutOff(zone)) {
                fleet.hosts().forEach(host -> host.registered &= !host.zone.equals(zone));
            }
        });
        fleet.after(milliseconds, () -> {
            fleet.network.reconnect();
            fleet.hosts().forEach(host -> host.registered |= host.up && host.zone.equals(zone));
        });
    }

    /** Ends several leaders within a few seconds, some before they have read their data. */
    private void succeedQuickly() {
        int count = MIN_TERMS_OF_SUCCESSION + random.nextInt(MAX_TERMS_OF_SUCCESSION - MIN_TERMS_OF_SUCCESSION + 1);
        long delay = 0;
        for (int number = 0; number < count; number++) {
            fleet.after(delay, this::endLeader);
            delay += 150L + random.nextInt(1_500);
        }
    }

    /** Ends the leader in one of the ways in which a process ends or loses the store. */
    void endLeader() {
        fleet.oracle.onDisruption();
        Optional<SimulatedTerm> leader = election.leader();
        if (leader.isEmpty()) {
            return;
        }
        switch (random.nextInt(6)) {
            case 0 -> leader.get().cutOff(500L + random.nextInt(9_000));
            case 1 -> pauseLeader(200L + random.nextInt(4_000));
            case 2 -> {
                leader.get().crash();
                claimAfterRestart();
            }
            default -> {
                leader.get().resign();
                claimAfterRestart();
            }
        }
    }

    /** Lets the restarted process claim the term of its earlier life, in half of the cases. */
    void claimAfterRestart() {
        if (random.nextBoolean()) {
            election.claimAfter(100L + random.nextInt(900));
        }
    }

    private void pauseLeader(long milliseconds) {
        election.leader().ifPresent(leader -> {
            leader.pause(milliseconds);
            fleet.oracle.onDisruptionFor(milliseconds);
        });
    }
}
