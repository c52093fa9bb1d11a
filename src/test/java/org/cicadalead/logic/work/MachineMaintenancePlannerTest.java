package org.cicadalead.logic.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.MachineCondition;
import org.cicadalead.model.work.MachineEntry;
import org.cicadalead.model.work.MachineOutcome;
import org.cicadalead.model.work.MaintenanceWave;
import org.cicadalead.model.work.WaveProgress;
import org.junit.jupiter.api.Test;

class MachineMaintenancePlannerTest {
    private static final long MAINTENANCE_MILLISECONDS = 2_000;

    private final MachineMaintenancePlanner planner = new MachineMaintenancePlanner(MAINTENANCE_MILLISECONDS);
    private final List<MachineEntry> machines = new ArrayList<>();
    private final List<HostEntry> hosts = new ArrayList<>();

    private WorkScheduler createFleet(int count) {
        for (int number = 0; number < count; number++) {
            String name = "host-" + number;
            machines.add(new MachineEntry("machine-" + number, WorkFixtures.BUSY, MachineCondition.UP, name));
            hosts.add(WorkFixtures.host(name, WorkFixtures.BUSY, "rack"));
        }
        planner.updateMachines(machines, 0);
        return WorkFixtures.scheduler(hosts.toArray(HostEntry[]::new));
    }

    private void addWave(int limit, int count) {
        List<String> names =
                machines.stream().limit(count).map(MachineEntry::machine).toList();
        planner.addWave(new MaintenanceWave(1, names, 60, limit), WorkFixtures.at(0));
    }

    private List<MachineMaintenancePlanner.Order> decide(WorkScheduler scheduler, long now) {
        return planner.decide(scheduler.createMachineView(), WorkFixtures.at(now), false);
    }

    @Test
    void takesDownIdleMachinesUpToLimit() {
        WorkScheduler scheduler = createFleet(5);
        addWave(2, 5);
        assertEquals(2, decide(scheduler, 10).size());
        assertEquals(List.of(), decide(scheduler, 20));
    }

    @Test
    void leavesIdleMachinesToWaitingPoolsWhileWaveIsInTime() {
        WorkScheduler scheduler = createFleet(5);
        addWave(4, 5);
        assertEquals(
                1,
                planner.decide(scheduler.createMachineView(), WorkFixtures.at(10), true)
                        .size());
        assertEquals(3, decide(scheduler, 20).size(), "the limit less the one that was ordered down");
    }

    @Test
    void takesDownIdleMachinesWhenWaveWouldBeLate() {
        WorkScheduler scheduler = createFleet(5);
        addWave(5, 5);
        long lateTime = 38_000;
        for (HostEntry host : hosts) {
            WorkFixtures.replyToPoll(scheduler, host.identifier(), lateTime, List.of(), List.of());
        }
        assertEquals(
                5,
                planner.decide(scheduler.createMachineView(), WorkFixtures.at(lateTime), true)
                        .size(),
                "42 of 60 s are planned for, and one machine takes 5 s");
    }

    @Test
    void countsMachinesOfEarlierTermAgainstLimit() {
        WorkScheduler scheduler = createFleet(4);
        addWave(2, 4);
        machines.set(0, new MachineEntry("machine-0", WorkFixtures.BUSY, MachineCondition.UPKEEP, ""));
        planner.updateMachines(machines, 5);
        assertEquals(1, decide(scheduler, 10).size());
    }

    @Test
    void doesNotRepeatMaintenanceOfEarlierTerm() {
        WorkScheduler scheduler = createFleet(3);
        addWave(3, 3);
        planner.restoreProgress(new WaveProgress(1, 0, Set.of("machine-0", "machine-1")));
        assertEquals(
                List.of("machine-2"),
                decide(scheduler, 10).stream()
                        .map(MachineMaintenancePlanner.Order::machine)
                        .toList());
    }

    @Test
    void takesDownOneEmptyMachineOfBusyPoolAtATime() {
        WorkScheduler scheduler = createFleet(4);
        addWave(4, 4);
        scheduler.addJob(
                WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.step(32, 1_000, 9_000)), WorkFixtures.at(1));
        WorkFixtures.confirmStarts(
                scheduler, WorkFixtures.startsIn(WorkFixtures.decide(scheduler, WorkFixtures.at(1), 0)), 5);
        assertEquals(List.of(), decide(scheduler, 10), "the machine is cordoned first");
        assertEquals(List.of(), decide(scheduler, 2_100), "its short work is then stopped");
        List<WorkOrder> stops = WorkFixtures.decide(scheduler, WorkFixtures.at(2_101), 0).stream()
                .filter(WorkOrder.Stop.class::isInstance)
                .toList();
        assertEquals(8, stops.size(), "the tasks of one machine");
        String host = ((WorkOrder.Stop) stops.get(0)).target().host();
        WorkFixtures.replyToPoll(scheduler, host, 2_200, List.of(), List.of());
        stops.forEach(stop -> scheduler.onStopConfirmed(host, ((WorkOrder.Stop) stop).run(), WorkFixtures.at(2_210)));
        WorkFixtures.replyToPoll(scheduler, host, 2_220, List.of(), List.of());
        assertEquals(
                List.of(host),
                decide(scheduler, 2_221).stream()
                        .map(MachineMaintenancePlanner.Order::host)
                        .toList());
    }

    @Test
    void evacuatesTasksOneAtATimeWithinAvailabilityLimit() {
        WorkScheduler scheduler = createFleet(2);
        addWave(2, 1);
        scheduler.addJob(
                WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.longRunningStep(4, 1)), WorkFixtures.at(1));
        WorkFixtures.confirmStarts(
                scheduler, WorkFixtures.startsIn(WorkFixtures.decide(scheduler, WorkFixtures.at(1), 0)), 5);
        assertEquals(List.of(), decide(scheduler, 10), "the host has two tasks and one may be unavailable");
        long stops = WorkFixtures.decide(scheduler, WorkFixtures.at(11), 0).stream()
                .filter(WorkOrder.Stop.class::isInstance)
                .count();
        assertEquals(1, stops);
        assertEquals(List.of(), decide(scheduler, 12), "the stopped task has not restarted yet");
    }

    @Test
    void countsTasksOfLeavingMachineAsUnavailable() {
        WorkScheduler scheduler = createFleet(2);
        addWave(2, 2);
        scheduler.addJob(
                WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.longRunningStep(3, 1)), WorkFixtures.at(1));
        WorkFixtures.confirmStarts(
                scheduler, WorkFixtures.startsIn(WorkFixtures.decide(scheduler, WorkFixtures.at(1), 0)), 5);
        List<MachineMaintenancePlanner.Order> orders = decide(scheduler, 10);
        long stops = WorkFixtures.decide(scheduler, WorkFixtures.at(11), 0).stream()
                .filter(WorkOrder.Stop.class::isInstance)
                .count();
        assertTrue(orders.size() + stops <= 1, orders.size() + " machines and " + stops + " tasks at once");
    }

    @Test
    void keepsHostThatHasNotRepliedInThisTerm() {
        createFleet(2);
        addWave(2, 2);
        WorkScheduler successor = new WorkScheduler(WorkFixtures.TERMS, 2, EarlierHosts.NONE, 0);
        successor.updateHosts(hosts, WorkFixtures.at(0));
        assertEquals(List.of(), decide(successor, 10));
        WorkFixtures.replyToPoll(successor, "host-1", 20, List.of(), List.of());
        assertEquals(
                List.of("host-1"),
                decide(successor, 21).stream()
                        .map(MachineMaintenancePlanner.Order::host)
                        .toList());
    }

    @Test
    void completesWaveWhenAllMachinesHaveBegunMaintenance() {
        WorkScheduler scheduler = createFleet(1);
        addWave(1, 1);
        MachineMaintenancePlanner.Order order = decide(scheduler, 10).get(0);
        assertEquals(List.of(), planner.findCompletedWaves());
        planner.onOrderReply(order, MachineOutcome.BEGUN, scheduler.createMachineView(), 20);
        assertEquals(List.of(1L), planner.findCompletedWaves());
    }

    @Test
    void doesNotReserveMachinesAfterTheirMaintenance() {
        WorkScheduler scheduler = createFleet(3);
        addWave(2, 3);
        List<MachineMaintenancePlanner.Order> orders = decide(scheduler, 10);
        for (MachineMaintenancePlanner.Order order : orders) {
            planner.onOrderReply(order, MachineOutcome.BEGUN, scheduler.createMachineView(), 20);
        }
        listConditions(orders, MachineCondition.UPKEEP, 100);
        Set<String> orderedMachines =
                orders.stream().map(MachineMaintenancePlanner.Order::machine).collect(Collectors.toSet());
        assertEquals(orderedMachines, planner.findReservedMachines());
        listConditions(orders, MachineCondition.UP, 2_100);
        assertEquals(List.of(1L), planner.findRunningWaves());
        assertEquals(Set.of(), planner.findReservedMachines());
    }

    @Test
    void doesNotReserveMachineWhoseMaintenanceIsImpossible() {
        WorkScheduler scheduler = createFleet(2);
        addWave(1, 2);
        MachineMaintenancePlanner.Order order = decide(scheduler, 10).get(0);
        planner.onOrderReply(order, MachineOutcome.IMPOSSIBLE, scheduler.createMachineView(), 20);
        assertEquals(Set.of(), planner.findReservedMachines());
    }

    private void listConditions(List<MachineMaintenancePlanner.Order> orders, MachineCondition condition, long now) {
        for (MachineMaintenancePlanner.Order order : orders) {
            machines.removeIf(machine -> machine.machine().equals(order.machine()));
            machines.add(new MachineEntry(order.machine(), WorkFixtures.BUSY, condition, order.host() + "-restarted"));
        }
        planner.updateMachines(machines, now);
    }
}
