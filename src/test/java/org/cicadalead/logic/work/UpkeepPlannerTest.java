package org.cicadalead.logic.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.MachineCondition;
import org.cicadalead.model.work.MachineEntry;
import org.cicadalead.model.work.MachineOutcome;
import org.cicadalead.model.work.UpkeepWave;
import org.cicadalead.model.work.WaveProgress;
import org.junit.jupiter.api.Test;

class UpkeepPlannerTest {
    private static final long MAINTENANCE = 2_000;

    private final UpkeepPlanner planner = new UpkeepPlanner(MAINTENANCE);
    private final List<MachineEntry> machines = new ArrayList<>();
    private final List<HostEntry> hosts = new ArrayList<>();

    private WorkScheduler fleet(int count) {
        for (int number = 0; number < count; number++) {
            String name = "host-" + number;
            machines.add(new MachineEntry("machine-" + number, WorkFixtures.BUSY, MachineCondition.UP, name));
            hosts.add(WorkFixtures.host(name, WorkFixtures.BUSY, "rack"));
        }
        planner.machinesListed(machines, 0);
        return WorkFixtures.scheduler(hosts.toArray(HostEntry[]::new));
    }

    private void wave(int limit, int count) {
        List<String> names =
                machines.stream().limit(count).map(MachineEntry::machine).toList();
        planner.wave(new UpkeepWave(1, names, 60, limit), WorkFixtures.at(0));
    }

    private List<UpkeepPlanner.Order> decide(WorkScheduler scheduler, long now) {
        return planner.decide(scheduler.machineView(), WorkFixtures.at(now), false);
    }

    @Test
    void idleMachinesGoAtOnceUpToTheLimit() {
        WorkScheduler scheduler = fleet(5);
        wave(2, 5);
        assertEquals(2, decide(scheduler, 10).size());
        assertEquals(List.of(), decide(scheduler, 20));
    }

    @Test
    void idleMachinesAreLeftToAPoolThatWaitsForThemAsLongAsTheWaveIsInTime() {
        WorkScheduler scheduler = fleet(5);
        wave(4, 5);
        assertEquals(
                1,
                planner.decide(scheduler.machineView(), WorkFixtures.at(10), true)
                        .size());
        assertEquals(3, decide(scheduler, 20).size(), "the limit less the one that is down");
    }

    @Test
    void idleMachinesGoInTimeAlsoWhilePoolsWaitForMachines() {
        WorkScheduler scheduler = fleet(5);
        wave(5, 5);
        long late = 38_000;
        for (HostEntry host : hosts) {
            WorkFixtures.answer(scheduler, host.identifier(), late, List.of(), List.of());
        }
        assertEquals(
                5,
                planner.decide(scheduler.machineView(), WorkFixtures.at(late), true)
                        .size(),
                "42 of 60 s are planned with, and one turn takes 5 s");
    }

    @Test
    void machinesThatAnEarlierTermSentDownCountAgainstTheLimit() {
        WorkScheduler scheduler = fleet(4);
        wave(2, 4);
        machines.set(0, new MachineEntry("machine-0", WorkFixtures.BUSY, MachineCondition.UPKEEP, ""));
        planner.machinesListed(machines, 5);
        assertEquals(1, decide(scheduler, 10).size());
    }

    @Test
    void whatAnEarlierTermDidIsNotDoneAgain() {
        WorkScheduler scheduler = fleet(3);
        wave(3, 3);
        planner.restored(new WaveProgress(1, 0, Set.of("machine-0", "machine-1")));
        assertEquals(
                List.of("machine-2"),
                decide(scheduler, 10).stream().map(UpkeepPlanner.Order::machine).toList());
    }

    @Test
    void aPoolInUseLosesOneMachineAtATimeAndOnlyWhenNothingRunsThere() {
        WorkScheduler scheduler = fleet(4);
        wave(4, 4);
        scheduler.submitted(
                WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.step(32, 1_000, 9_000)), WorkFixtures.at(1));
        WorkFixtures.confirm(
                scheduler, WorkFixtures.starts(WorkFixtures.decide(scheduler, WorkFixtures.at(1), true)), 5);
        assertEquals(List.of(), decide(scheduler, 10), "the machine is closed first");
        assertEquals(List.of(), decide(scheduler, 2_100), "then its short work is stopped");
        List<WorkOrder> stops = WorkFixtures.decide(scheduler, WorkFixtures.at(2_101), true).stream()
                .filter(WorkOrder.Stop.class::isInstance)
                .toList();
        assertEquals(8, stops.size(), "the tasks of one machine");
        String host = ((WorkOrder.Stop) stops.get(0)).target().host();
        WorkFixtures.answer(scheduler, host, 2_200, List.of(), List.of());
        stops.forEach(stop -> scheduler.stopConfirmed(host, ((WorkOrder.Stop) stop).run(), WorkFixtures.at(2_210)));
        WorkFixtures.answer(scheduler, host, 2_220, List.of(), List.of());
        assertEquals(
                List.of(host),
                decide(scheduler, 2_221).stream().map(UpkeepPlanner.Order::host).toList());
    }

    @Test
    void aStepThatCanSpareOneTaskLosesThemOneAfterTheOther() {
        WorkScheduler scheduler = fleet(2);
        wave(2, 1);
        scheduler.submitted(
                WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.lasting(4, 1)), WorkFixtures.at(1));
        WorkFixtures.confirm(
                scheduler, WorkFixtures.starts(WorkFixtures.decide(scheduler, WorkFixtures.at(1), true)), 5);
        assertEquals(List.of(), decide(scheduler, 10), "two tasks are there and one may be away");
        long stops = WorkFixtures.decide(scheduler, WorkFixtures.at(11), true).stream()
                .filter(WorkOrder.Stop.class::isInstance)
                .count();
        assertEquals(1, stops);
        assertEquals(List.of(), decide(scheduler, 12), "the stopped task is not back yet");
    }

    @Test
    void aTaskOnAMachineThatIsAboutToGoCountsAsAway() {
        WorkScheduler scheduler = fleet(2);
        wave(2, 2);
        scheduler.submitted(
                WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.lasting(3, 1)), WorkFixtures.at(1));
        WorkFixtures.confirm(
                scheduler, WorkFixtures.starts(WorkFixtures.decide(scheduler, WorkFixtures.at(1), true)), 5);
        List<UpkeepPlanner.Order> orders = decide(scheduler, 10);
        long stops = WorkFixtures.decide(scheduler, WorkFixtures.at(11), true).stream()
                .filter(WorkOrder.Stop.class::isInstance)
                .count();
        assertTrue(orders.size() + stops <= 1, orders.size() + " machines and " + stops + " tasks at once");
    }

    @Test
    void aHostThatHasNotAnsweredInThisTermMayRunAnythingAndStays() {
        fleet(2);
        wave(2, 2);
        WorkScheduler successor = new WorkScheduler(WorkFixtures.TERMS, 2, EarlierHosts.NONE, 0);
        successor.hostsListed(hosts, WorkFixtures.at(0));
        assertEquals(List.of(), decide(successor, 10));
        WorkFixtures.answer(successor, "host-1", 20, List.of(), List.of());
        assertEquals(
                List.of("host-1"),
                decide(successor, 21).stream().map(UpkeepPlanner.Order::host).toList());
    }

    @Test
    void aWaveIsCompletedWhenAllItsMachinesHaveBegun() {
        WorkScheduler scheduler = fleet(1);
        wave(1, 1);
        UpkeepPlanner.Order order = decide(scheduler, 10).get(0);
        assertEquals(List.of(), planner.completed());
        planner.answered(order, MachineOutcome.BEGUN, scheduler.machineView(), 20);
        assertEquals(List.of(1L), planner.completed());
    }
}
