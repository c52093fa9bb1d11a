package org.cicadalead.logic.work;

import static org.cicadalead.logic.work.WorkFixtures.at;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cicadalead.model.work.ActiveRun;
import org.cicadalead.model.work.EndedRun;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.RunEnding;
import org.cicadalead.model.work.RunKey;
import org.cicadalead.model.work.StepSpecification;
import org.junit.jupiter.api.Test;

/** Guards against long-running tasks that wait although stopping short tasks can make room for them. */
class LastingTaskRoomTest {
    private static final int CORES_PER_HOST = 8;
    private static final long NOW = 1_000;

    private final HostEntry first = WorkFixtures.host("first", WorkFixtures.BUSY, "rack-1");
    private final HostEntry second = WorkFixtures.host("second", WorkFixtures.BUSY, "rack-2");

    private static StepSpecification lastingStep(
            int tasks, long milliCores, boolean sameRack, Optional<String> requiredLabel) {
        return lastingStep(tasks, milliCores, sameRack, requiredLabel, 0);
    }

    private static StepSpecification lastingStep(
            int tasks, long milliCores, boolean sameRack, Optional<String> requiredLabel, int maximumPerHost) {
        return new StepSpecification(
                tasks,
                milliCores,
                100,
                0,
                0,
                List.of(),
                false,
                false,
                sameRack,
                requiredLabel,
                Optional.empty(),
                maximumPerHost,
                false,
                true,
                Optional.empty(),
                0,
                false,
                0);
    }

    /** Fills all hosts with short tasks of one core, of which more wait. */
    private static List<WorkOrder.Start> fillWithShortTasks(WorkScheduler scheduler, int tasks, long now) {
        scheduler.addJob(
                WorkFixtures.job("short", WorkFixtures.BUSY, now, WorkFixtures.step(tasks, 1_000, 60_000)), at(now));
        List<WorkOrder.Start> starts = WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(now), 0));
        WorkFixtures.confirmStarts(scheduler, starts, now + 1);
        return starts;
    }

    private static List<RunKey> stopsOn(String host, List<WorkOrder> orders) {
        List<RunKey> stops = new ArrayList<>();
        for (WorkOrder order : orders) {
            if (order instanceof WorkOrder.Stop stop && stop.target().host().equals(host)) {
                stops.add(stop.run());
            }
        }
        return stops;
    }

    private static int countStartsOf(String job, List<WorkOrder> orders) {
        return (int) WorkFixtures.startsIn(orders).stream()
                .filter(start -> start.run().task().job().equals(job))
                .count();
    }

    private static List<ActiveRun> activeOn(String host, List<WorkOrder.Start> starts) {
        return starts.stream()
                .filter(start -> start.target().host().equals(host))
                .map(start -> new ActiveRun(start.run(), "", WorkRun.FULL_SPEED_PERCENT, 0))
                .toList();
    }

    /** Lists the ends of stopped runs, and the others as active. */
    private static void listEnds(
            WorkScheduler scheduler, String host, List<WorkOrder.Start> starts, List<RunKey> ends, long now) {
        List<EndedRun> ended = new ArrayList<>();
        ends.forEach(run -> ended.add(new EndedRun(ended.size() + 1L, run, RunEnding.STOPPED, "")));
        List<ActiveRun> active = activeOn(host, starts).stream()
                .filter(run -> !ends.contains(run.run()))
                .toList();
        WorkFixtures.replyToPoll(scheduler, host, now, active, ended);
    }

    @Test
    void stopsShortTasksOnlyWhereLongRunningTaskMayRun() {
        WorkScheduler scheduler = WorkFixtures.scheduler(first, second);
        fillWithShortTasks(scheduler, 2 * CORES_PER_HOST, NOW);
        scheduler.addJob(
                WorkFixtures.job(
                        "lasting", WorkFixtures.BUSY, NOW, lastingStep(1, 1_000, false, Optional.of("rack-2"))),
                at(NOW));
        WorkFixtures.decide(scheduler, at(NOW + 10), 0);
        List<WorkOrder> orders = WorkFixtures.decide(scheduler, at(NOW + 20), 0);
        assertEquals(List.of(), stopsOn("first", orders));
        assertEquals(1, stopsOn("second", orders).size());
    }

    @Test
    void startsNoShortTaskInRoomThatIsFreedForLongRunningTask() {
        WorkScheduler scheduler = WorkFixtures.scheduler(first);
        List<WorkOrder.Start> starts = fillWithShortTasks(scheduler, 2 * CORES_PER_HOST, NOW);
        scheduler.addJob(
                WorkFixtures.job("lasting", WorkFixtures.BUSY, NOW, lastingStep(1, 4_000, false, Optional.empty())),
                at(NOW));
        WorkFixtures.decide(scheduler, at(NOW + 10), 0);
        List<RunKey> stops = stopsOn("first", WorkFixtures.decide(scheduler, at(NOW + 20), 0));
        assertEquals(4, stops.size());
        for (int ended = 1; ended < stops.size(); ended++) {
            listEnds(scheduler, "first", starts, stops.subList(0, ended), NOW + 100L * ended);
            assertEquals(
                    List.of(),
                    WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(NOW + 100L * ended + 1), 0)),
                    "after " + ended + " ends");
        }
        listEnds(scheduler, "first", starts, stops, NOW + 400);
        assertEquals(1, countStartsOf("lasting", WorkFixtures.decide(scheduler, at(NOW + 401), 0)));
    }

    @Test
    void makesRoomForAllWaitingTasksOfLongRunningStepAtOnce() {
        WorkScheduler scheduler = WorkFixtures.scheduler(first, second);
        fillWithShortTasks(scheduler, 2 * CORES_PER_HOST, NOW);
        scheduler.addJob(
                WorkFixtures.job("lasting", WorkFixtures.BUSY, NOW, lastingStep(5, 2_000, false, Optional.empty())),
                at(NOW));
        WorkFixtures.decide(scheduler, at(NOW + 10), 0);
        List<WorkOrder> orders = WorkFixtures.decide(scheduler, at(NOW + 20), 0);
        assertEquals(
                10, stopsOn("first", orders).size() + stopsOn("second", orders).size());
    }

    @Test
    void makesRoomOnAsManyHostsAsLimitPerHostRequires() {
        WorkScheduler scheduler = WorkFixtures.scheduler(first, second);
        fillWithShortTasks(scheduler, 2 * CORES_PER_HOST, NOW);
        scheduler.addJob(
                WorkFixtures.job("lasting", WorkFixtures.BUSY, NOW, lastingStep(2, 1_000, false, Optional.empty(), 1)),
                at(NOW));
        WorkFixtures.decide(scheduler, at(NOW + 10), 0);
        List<WorkOrder> orders = WorkFixtures.decide(scheduler, at(NOW + 20), 0);
        assertEquals(1, stopsOn("first", orders).size());
        assertEquals(1, stopsOn("second", orders).size());
    }

    @Test
    void stopsNoMoreShortTasksWhileRoomIsBeingFreed() {
        WorkScheduler scheduler = WorkFixtures.scheduler(first, second);
        fillWithShortTasks(scheduler, 2 * CORES_PER_HOST, NOW);
        scheduler.addJob(
                WorkFixtures.job("lasting", WorkFixtures.BUSY, NOW, lastingStep(1, 2_000, false, Optional.empty())),
                at(NOW));
        List<WorkOrder> orders = new ArrayList<>();
        for (long now = NOW + 10; now < NOW + 200; now += 10) {
            orders.addAll(WorkFixtures.decide(scheduler, at(now), 0));
        }
        assertEquals(
                2, stopsOn("first", orders).size() + stopsOn("second", orders).size());
    }

    @Test
    void stopsOtherShortTasksWhenStopsAreNotCarriedOut() {
        WorkScheduler scheduler = WorkFixtures.scheduler(first, second);
        List<WorkOrder.Start> starts = fillWithShortTasks(scheduler, 2 * CORES_PER_HOST, NOW);
        scheduler.addJob(
                WorkFixtures.job("lasting", WorkFixtures.BUSY, NOW, lastingStep(1, 1_000, false, Optional.empty())),
                at(NOW));
        WorkFixtures.decide(scheduler, at(NOW + 10), 0);
        List<WorkOrder> orders = new ArrayList<>(WorkFixtures.decide(scheduler, at(NOW + 20), 0));
        long later = NOW + 2_600;
        for (String host : List.of("first", "second")) {
            listEnds(scheduler, host, starts, List.of(), later);
        }
        WorkFixtures.decide(scheduler, at(later + 1), 0);
        orders.addAll(WorkFixtures.decide(scheduler, at(later + 2), 0));
        assertEquals(
                2,
                orders.stream()
                        .filter(WorkOrder.Stop.class::isInstance)
                        .map(order -> ((WorkOrder.Stop) order).run())
                        .distinct()
                        .count());
    }

    @Test
    void startsLongRunningTaskOnAnotherRackWhenItsRackIsFull() {
        WorkScheduler scheduler = WorkFixtures.scheduler(first, second);
        scheduler.addJob(
                WorkFixtures.job("lasting", WorkFixtures.BUSY, NOW, lastingStep(3, 4_000, true, Optional.empty())),
                at(NOW));
        List<WorkOrder> orders = new ArrayList<>(WorkFixtures.decide(scheduler, at(NOW), 0));
        orders.addAll(WorkFixtures.decide(scheduler, at(NOW + 10), 0));
        assertEquals(3, countStartsOf("lasting", orders));
    }
}
