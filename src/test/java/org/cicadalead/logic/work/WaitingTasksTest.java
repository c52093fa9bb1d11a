package org.cicadalead.logic.work;

import static org.cicadalead.logic.work.WorkFixtures.at;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.work.ActiveRun;
import org.cicadalead.model.work.EndedRun;
import org.cicadalead.model.work.HostClaim;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.LeaderRecord;
import org.cicadalead.model.work.RunEnding;
import org.cicadalead.model.work.StartOutcome;
import org.cicadalead.model.work.StepSpecification;
import org.cicadalead.model.work.TaskKey;
import org.junit.jupiter.api.Test;

class WaitingTasksTest {
    private static final HostEntry HOST = WorkFixtures.host("host", WorkFixtures.BUSY, "rack-1");
    private static final HostEntry OTHER = WorkFixtures.host("other", WorkFixtures.BUSY, "rack-2");
    private static final long OVERDUE = WaitingTasks.OVERDUE_AFTER_MILLISECONDS;

    static StepSpecification lastingStep(
            int tasks, long milliCores, boolean gang, boolean sameRack, Optional<String> label, int maximumPerHost) {
        return new StepSpecification(
                tasks,
                milliCores,
                100,
                0,
                0,
                List.of(),
                false,
                gang,
                sameRack,
                label,
                Optional.empty(),
                maximumPerHost,
                false,
                true,
                Optional.empty(),
                0,
                false,
                0);
    }

    private static StepSpecification lastingStep(int tasks, long milliCores) {
        return lastingStep(tasks, milliCores, false, false, Optional.empty(), 0);
    }

    private static void addJob(WorkScheduler scheduler, String job, long now, StepSpecification step) {
        scheduler.addJob(WorkFixtures.job(job, WorkFixtures.BUSY, now, step), at(now));
    }

    private static List<WorkOrder.Start> start(WorkScheduler scheduler, long now) {
        return WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(now), 0));
    }

    private static void listAll(WorkScheduler scheduler, List<WorkOrder.Start> starts, String host, long now) {
        List<ActiveRun> active = starts.stream()
                .filter(start -> start.target().host().equals(host))
                .map(start -> new ActiveRun(start.run(), "", WorkRun.FULL_SPEED_PERCENT, 0))
                .toList();
        WorkFixtures.replyToPoll(scheduler, host, now, active, List.of());
    }

    private static WaitingTasks.Report evaluate(WorkScheduler scheduler, long now) {
        return scheduler.createWaitingTasks().evaluate(at(now), true, 0);
    }

    private static WaitingTasks.WaitingTask onlyWaiting(WaitingTasks.Report report) {
        assertEquals(1, report.waiting().size(), report.toString());
        return report.waiting().get(0);
    }

    private static WaitingReason findReason(WorkScheduler scheduler, long now) {
        return onlyWaiting(evaluate(scheduler, now)).reason();
    }

    private static String input(WaitingReason reason, String name) {
        return reason.inputs().stream()
                .filter(detail -> detail.name().equals(name))
                .map(EventDetail::value)
                .findFirst()
                .orElse("absent of " + reason);
    }

    @Test
    void tellsThatServiceIsClosedByWhichHostsAndUntilWhen() {
        LeaderRecord lastRecord = new LeaderRecord(
                1,
                "process",
                "address",
                false,
                Map.of("lost", new HostClaim(WorkFixtures.BUSY, true, 5_000, Optional.empty())),
                Optional.empty(),
                Optional.of(9_000L));
        EarlierHosts earlier =
                EarlierHosts.from(new EarlierTerm(lastRecord, 0), List.of(HOST), WorkFixtures.TERMS, 1_000);
        WorkScheduler scheduler = new WorkScheduler(WorkFixtures.TERMS, 2, earlier, 1_000);
        scheduler.updateHosts(List.of(HOST), at(1_000));
        addJob(scheduler, "job", 1_000, lastingStep(1, 1_000));
        WorkFixtures.replyToPoll(scheduler, "host", 2_900, List.of(), List.of());
        assertEquals(List.of(), start(scheduler, 2_950));
        WaitingTasks.WaitingTask waiting = onlyWaiting(evaluate(scheduler, 3_000));
        assertEquals(WaitingReason.Cause.SERVICE_CLOSED, waiting.reason().cause());
        assertEquals("[lost]", input(waiting.reason(), "someHosts"));
        assertEquals("6000", input(waiting.reason(), "opensAfterMilliseconds"));
        assertEquals(2, waiting.epoch());
        assertEquals(2_000, waiting.waitedMilliseconds());
        assertTrue(waiting.details().contains(EventDetail.of("lastRun", "unknown in this term")));
    }

    @Test
    void tellsNeededAndFreeCapacityAndHowManyHostsAreUsable() {
        WorkScheduler scheduler = WorkFixtures.scheduler(HOST, OTHER);
        addJob(scheduler, "filler", 1, lastingStep(2, 5_000));
        List<WorkOrder.Start> starts = start(scheduler, 1);
        assertEquals(2, starts.size());
        WorkFixtures.confirmStarts(scheduler, starts, 2);
        addJob(scheduler, "large", 3, lastingStep(1, 4_000));
        long now = 3 + OVERDUE;
        listAll(scheduler, starts, "host", now);
        listAll(scheduler, starts, "other", now - 100);
        assertEquals(List.of(), start(scheduler, now));
        WaitingReason reason = findReason(scheduler, now);
        assertEquals(WaitingReason.Cause.NO_ROOM, reason.cause());
        assertEquals("4000 millicores, 100 MB, 0 accelerators", input(reason, "needed"));
        assertEquals("3000 millicores, 15900 MB, 0 accelerators on host", input(reason, "mostFree"));
        assertEquals("2", input(reason, "hosts"));
        assertEquals("2", input(reason, "usable"));
        assertEquals("none", input(reason, "unusable"));
    }

    @Test
    void countsUnusableHostsByCause() {
        HostEntry draining = WorkFixtures.draining(WorkFixtures.host("draining", WorkFixtures.BUSY, "rack-1"));
        HostEntry joined = WorkFixtures.host("joined", WorkFixtures.BUSY, "rack-1");
        WorkScheduler scheduler = WorkFixtures.scheduler(HOST, OTHER, draining);
        scheduler.updateHosts(List.of(HOST, OTHER, draining, joined), at(10));
        addJob(scheduler, "job", 10, lastingStep(1, 1_000));
        WorkFixtures.replyToPoll(scheduler, "draining", 3_000, List.of(), List.of());
        WaitingReason reason = findReason(scheduler, 3_000);
        assertEquals(WaitingReason.Cause.NO_USABLE_HOST, reason.cause());
        assertEquals("4", input(reason, "hosts"));
        assertEquals("0", input(reason, "usable"));
        assertEquals(
                "NO_REPLY_YET=1 (joined), UNREACHABLE=2 (host since 3000 ms), DRAINING=1 (draining)",
                input(reason, "unusable"));
    }

    @Test
    void tellsHowLongHostStaysExcludedAfterFailures() {
        WorkScheduler scheduler = WorkFixtures.scheduler(HOST);
        addJob(scheduler, "job", 1, lastingStep(1, 1_000));
        WorkOrder.Start start = start(scheduler, 1).get(0);
        scheduler.onStartReply("host", start.run(), StartOutcome.UNHEALTHY, at(2_500));
        WorkFixtures.replyToPoll(scheduler, "host", 2_600, List.of(), List.of());
        WaitingTasks.WaitingTask waiting = onlyWaiting(evaluate(scheduler, 2_700));
        assertEquals(WaitingReason.Cause.NO_USABLE_HOST, waiting.reason().cause());
        assertEquals("AFTER_FAILURES=1 (host for 800 ms)", input(waiting.reason(), "unusable"));
        assertEquals(
                Optional.of(start.run().attempt() + " on host never ran, START_REJECTED UNHEALTHY, 200 ms ago"),
                waiting.lastRun());
        assertEquals(2_699, waiting.waitedMilliseconds());
    }

    @Test
    void tellsThatFirstAnnouncementIsNotStored() {
        WorkScheduler scheduler = new WorkScheduler(WorkFixtures.TERMS, 1, EarlierHosts.NONE, 0);
        scheduler.updateHosts(List.of(HOST), at(0));
        addJob(scheduler, "job", 0, lastingStep(1, 1_000));
        WorkFixtures.replyToPoll(scheduler, "host", OVERDUE, List.of(), List.of());
        assertEquals(
                WaitingReason.Cause.FIRST_ANNOUNCEMENT_PENDING,
                findReason(scheduler, OVERDUE).cause());
    }

    @Test
    void tellsThatStartIntentIsNotStored() {
        WorkScheduler scheduler = WorkFixtures.scheduler(HOST);
        addJob(scheduler, "job", 1, lastingStep(1, 1_000));
        long now = 1 + OVERDUE;
        WorkFixtures.replyToPoll(scheduler, "host", now, List.of(), List.of());
        assertEquals(WaitingReason.Cause.PLACEABLE, findReason(scheduler, now).cause());
        assertEquals(List.of(), WorkFixtures.startsIn(scheduler.decide(at(now), 0)));
        assertEquals(
                WaitingReason.Cause.START_INTENT_PENDING,
                findReason(scheduler, now).cause());
    }

    @Test
    void tellsThatLeaderIsNotConfirmed() {
        WorkScheduler scheduler = WorkFixtures.scheduler(HOST);
        addJob(scheduler, "job", 1, lastingStep(1, 1_000));
        WaitingReason reason = onlyWaiting(scheduler.createWaitingTasks().evaluate(at(1 + OVERDUE), false, 2_700))
                .reason();
        assertEquals(WaitingReason.Cause.LEADER_UNCONFIRMED, reason.cause());
        assertEquals("2700", input(reason, "unconfirmedMilliseconds"));
    }

    @Test
    void tellsStateOfOrderWithoutAnswer() {
        WorkScheduler scheduler = WorkFixtures.scheduler(HOST);
        addJob(scheduler, "job", 1, lastingStep(1, 1_000));
        WorkOrder.Start start = start(scheduler, 1).get(0);
        WaitingReason ordered = findReason(scheduler, 2_100);
        assertEquals(WaitingReason.Cause.RUN_EXPECTED, ordered.cause());
        assertEquals("ORDERED", input(ordered, "state"));
        assertEquals("2099", input(ordered, "stateMilliseconds"));
        scheduler.onStartReply("host", start.run(), StartOutcome.UNKNOWN, at(2_200));
        assertEquals("UNCERTAIN", input(findReason(scheduler, 2_300), "state"));
        WorkFixtures.replyToPoll(scheduler, "host", 2_400, List.of(), List.of());
        assertEquals("STOPPING", input(findReason(scheduler, 2_500), "state"));
        scheduler.onStopConfirmed("host", start.run(), at(2_600));
        assertEquals("STOPPED", input(findReason(scheduler, 2_700), "state"));
    }

    @Test
    void countsRunOnSilentHostAsWaitingSinceLastReply() {
        WorkScheduler scheduler = WorkFixtures.scheduler(HOST);
        addJob(scheduler, "job", 1, lastingStep(1, 1_000));
        WorkFixtures.confirmStarts(scheduler, start(scheduler, 1), 999);
        WaitingTasks tasks = scheduler.createWaitingTasks();
        assertEquals(List.of(), tasks.evaluate(at(2_999), true, 0).waiting());
        WaitingTasks.WaitingTask silent = onlyWaiting(tasks.evaluate(at(4_000), true, 0));
        assertEquals(3_000, silent.waitedMilliseconds());
        assertEquals("RUNNING", input(silent.reason(), "state"));
        assertEquals("host", input(silent.reason(), "host"));
        assertEquals("3000", input(silent.reason(), "hostSilentMilliseconds"));
        long expiresAfter = Long.parseLong(input(silent.reason(), "leaseExpiresAfterMilliseconds"));
        long expiry = 1_000 + WorkFixtures.TERMS.maximumLeaseMilliseconds();
        assertTrue(4_000 + expiresAfter <= expiry);
        scheduler.decide(at(expiry), 0);
        WaitingTasks.WaitingTask dropped = onlyWaiting(tasks.evaluate(at(expiry + 10), true, 0));
        assertEquals(expiry + 10 - 1_000, dropped.waitedMilliseconds());
        assertTrue(dropped.lastRun().orElseThrow().contains("on host ran, LEASE_EXPIRED, 10 ms ago"));
    }

    @Test
    void tellsHowLastRunEnded() {
        WorkScheduler scheduler = WorkFixtures.scheduler(HOST);
        addJob(scheduler, "job", 1, lastingStep(1, 1_000));
        List<WorkOrder.Start> starts = start(scheduler, 1);
        WorkFixtures.confirmStarts(scheduler, starts, 2);
        EndedRun end = new EndedRun(1, starts.get(0).run(), RunEnding.LAPSED, "");
        WorkFixtures.replyToPoll(scheduler, "host", 500, List.of(), List.of(end));
        WorkFixtures.replyToPoll(scheduler, "host", 2_400, List.of(), List.of());
        assertEquals(
                Optional.of(starts.get(0).run().attempt() + " on host ran, LISTED_END LAPSED, 2000 ms ago"),
                onlyWaiting(evaluate(scheduler, 2_500)).lastRun());
    }

    /** The end and the rejected start may both fall between two evaluations. */
    @Test
    void countsWaitFromEndOfLastRunThatRanThroughRejectedStarts() {
        WorkScheduler scheduler = WorkFixtures.scheduler(HOST);
        addJob(scheduler, "job", 1, lastingStep(1, 1_000));
        List<WorkOrder.Start> starts = start(scheduler, 1);
        WorkFixtures.confirmStarts(scheduler, starts, 2);
        EndedRun end = new EndedRun(1, starts.get(0).run(), RunEnding.LAPSED, "");
        WorkFixtures.replyToPoll(scheduler, "host", 90_000, List.of(), List.of(end));
        WorkOrder.Start rejected = start(scheduler, 90_100).get(0);
        scheduler.onStartReply("host", rejected.run(), StartOutcome.NO_ROOM, at(90_200));
        assertEquals(List.of(), evaluate(scheduler, 91_000).waiting());
        assertEquals(2_500, onlyWaiting(evaluate(scheduler, 92_500)).waitedMilliseconds());
    }

    @Test
    void reportsOnceAlthoughEndOfHostIsDatedByDecisionBeforeIt() {
        WorkScheduler scheduler = WorkFixtures.scheduler(HOST);
        addJob(scheduler, "job", 1, lastingStep(1, 1_000));
        WorkFixtures.confirmStarts(scheduler, start(scheduler, 1), 50);
        scheduler.onHostEnded("host");
        WaitingTasks tasks = scheduler.createWaitingTasks();
        assertEquals(1, tasks.evaluate(at(3_000), true, 0).waiting().size());
        assertEquals(List.of(), tasks.evaluate(at(4_000), true, 0).waiting());
    }

    @Test
    void tellsThatGangWaitsForItsOwnRunsToEnd() {
        WorkScheduler scheduler = WorkFixtures.scheduler(HOST);
        addJob(scheduler, "job", 1, lastingStep(2, 1_000, true, false, Optional.empty(), 0));
        List<WorkOrder.Start> starts = start(scheduler, 1);
        WorkFixtures.confirmStarts(scheduler, starts, 2);
        EndedRun end = new EndedRun(1, starts.get(0).run(), RunEnding.BROKEN, "");
        ActiveRun active = new ActiveRun(starts.get(1).run(), "", WorkRun.FULL_SPEED_PERCENT, 0);
        WorkFixtures.replyToPoll(scheduler, "host", 500, List.of(active), List.of(end));
        WorkFixtures.replyToPoll(scheduler, "host", 2_400, List.of(active), List.of());
        WaitingReason reason = findReason(scheduler, 2_500);
        assertEquals(WaitingReason.Cause.GANG_INCOMPLETE, reason.cause());
        assertEquals("1", input(reason, "tasksWithoutRun"));
    }

    @Test
    void tellsThatGangFindsTooFewPlaces() {
        WorkScheduler scheduler = WorkFixtures.scheduler(HOST);
        addJob(scheduler, "job", 1, lastingStep(5, 2_000, true, false, Optional.empty(), 0));
        WorkFixtures.replyToPoll(scheduler, "host", 2_100, List.of(), List.of());
        assertEquals(List.of(), start(scheduler, 2_101));
        List<WaitingTasks.WaitingTask> waiting = evaluate(scheduler, 2_101).waiting();
        assertEquals(5, waiting.size());
        WaitingReason reason = waiting.get(0).reason();
        waiting.forEach(task -> assertEquals(reason, task.reason()));
        assertEquals(WaitingReason.Cause.NO_ROOM, reason.cause());
        assertEquals("4", input(reason, "places"));
        assertEquals("5", input(reason, "gang"));
    }

    @Test
    void reportsRoomOfAllRacksForStepThatPrefersOne() {
        WorkScheduler scheduler = WorkFixtures.scheduler(HOST, OTHER);
        addJob(scheduler, "job", 1, lastingStep(3, 5_000, false, true, Optional.empty(), 0));
        List<WorkOrder.Start> starts = start(scheduler, 1);
        assertEquals(
                List.of("host", "other"),
                starts.stream().map(order -> order.target().host()).sorted().toList());
        WorkFixtures.confirmStarts(scheduler, starts, 2);
        for (WorkOrder.Start order : starts) {
            listAll(scheduler, List.of(order), order.target().host(), 2_400);
        }
        assertEquals(List.of(), start(scheduler, 2_450));
        assertEquals(WaitingReason.Cause.NO_ROOM, findReason(scheduler, 2_500).cause());
    }

    @Test
    void reportsOnceWhileReasonStaysAndAgainWhenItChanges() {
        WorkScheduler scheduler = WorkFixtures.scheduler(HOST);
        addJob(scheduler, "job", 1, lastingStep(1, 1_000));
        WaitingTasks tasks = scheduler.createWaitingTasks();
        assertEquals(List.of(), tasks.evaluate(at(1_900), false, 2_600).waiting());
        assertEquals(1, tasks.evaluate(at(3_000), false, 3_700).waiting().size());
        assertEquals(List.of(), tasks.evaluate(at(4_000), false, 4_700).waiting());
        WorkFixtures.replyToPoll(scheduler, "host", 4_900, List.of(), List.of());
        assertEquals(
                WaitingReason.Cause.PLACEABLE,
                onlyWaiting(tasks.evaluate(at(5_000), true, 0)).reason().cause());
        WorkFixtures.confirmStarts(scheduler, start(scheduler, 5_100), 5_200);
        assertEquals(
                List.of(new WaitingTasks.ResumedTask(new TaskKey("job", 0, 0, 0), 1, 5_199)),
                tasks.evaluate(at(6_000), true, 0).resumed());
        assertEquals(List.of(), tasks.evaluate(at(7_000), true, 0).resumed());
    }

    @Test
    void reportsBoundedNumberOfTasksEachSecondAndCountsTheOthers() {
        WorkScheduler scheduler = WorkFixtures.scheduler();
        addJob(scheduler, "job", 0, lastingStep(50, 1_000));
        WaitingTasks tasks = scheduler.createWaitingTasks();
        List<Integer> reported = new ArrayList<>();
        List<Integer> leftOut = new ArrayList<>();
        for (long now = 2_000; now < 6_000; now += 100) {
            WaitingTasks.Report report = tasks.evaluate(at(now), true, 0);
            if (now % 1_000 == 0) {
                reported.add(report.waiting().size());
                leftOut.add(report.leftOut());
            } else {
                assertEquals(WaitingTasks.Report.EMPTY, report);
            }
        }
        assertEquals(List.of(20, 20, 10, 0), reported);
        assertEquals(List.of(30, 10, 0, 0), leftOut);
    }

    @Test
    void ignoresTasksThatDoNotLastAndJobsThatEnded() {
        WorkScheduler scheduler = WorkFixtures.scheduler();
        addJob(scheduler, "short", 0, WorkFixtures.step(1, 1_000, 500));
        addJob(scheduler, "cancelled", 0, lastingStep(1, 1_000));
        scheduler.cancelJob("cancelled", at(100));
        assertEquals(List.of(), evaluate(scheduler, 5_000).waiting());
    }

    @Test
    void boundsLengthOfLineInLargeService() {
        HostEntry[] hosts = new HostEntry[250];
        for (int index = 0; index < hosts.length; index++) {
            hosts[index] = WorkFixtures.host("host-with-a-long-name-" + index, WorkFixtures.BUSY, "rack");
        }
        WorkScheduler scheduler = WorkFixtures.scheduler(hosts);
        addJob(scheduler, "job", 0, lastingStep(1, 1_000));
        int length = onlyWaiting(evaluate(scheduler, 5_000)).details().stream()
                .mapToInt(detail -> detail.name().length() + detail.value().length())
                .sum();
        assertTrue(length < 600, "length " + length);
    }
}
