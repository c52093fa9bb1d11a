package org.cicadalead.logic.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cicadalead.model.work.ActiveRun;
import org.cicadalead.model.work.AdvisorTerms;
import org.cicadalead.model.work.EndedRun;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.HostListing;
import org.cicadalead.model.work.QueueTerms;
import org.cicadalead.model.work.RunEnding;
import org.cicadalead.model.work.RunKey;
import org.cicadalead.model.work.StartOutcome;
import org.cicadalead.model.work.WorkPhase;
import org.cicadalead.model.work.WorkProgress;
import org.cicadalead.model.work.WorkSubmission;
import org.junit.jupiter.api.Test;

class WorkSchedulerTest {
    private static final HostEntry FIRST = WorkFixtures.host("first", WorkFixtures.BUSY, "rack-1");
    private static final HostEntry SECOND = WorkFixtures.host("second", WorkFixtures.BUSY, "rack-2");
    private static final HostEntry THIRD = WorkFixtures.host("third", WorkFixtures.BUSY, "rack-c");

    @Test
    void anEndIsAcknowledgedAndShownOnlyAfterItIsStored() {
        WorkScheduler scheduler = WorkFixtures.scheduler(FIRST);
        scheduler.submitted(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.step(1, 1_000, 500)), at(1));
        WorkOrder.Start start =
                WorkFixtures.starts(WorkFixtures.decide(scheduler, at(1), true)).get(0);
        EndedRun end = new EndedRun(1, start.run(), RunEnding.DONE, "");
        WorkFixtures.answer(scheduler, "first", 600, List.of(), List.of(end));
        WorkOrder.Persist persist = (WorkOrder.Persist) WorkFixtures.decide(scheduler, at(600), true).stream()
                .filter(WorkOrder.Persist.class::isInstance)
                .findFirst()
                .orElseThrow();
        assertEquals(Optional.of(WorkPhase.RUNNING), scheduler.phaseOf("job"));
        assertEquals(0, scheduler.look("first", at(601), true).orElseThrow().acknowledged());
        scheduler.persisted(persist.batch(), true);
        assertEquals(Optional.of(WorkPhase.COMPLETED), scheduler.phaseOf("job"));
        assertEquals(1, scheduler.look("first", at(602), true).orElseThrow().acknowledged());
    }

    @Test
    void aHostThatMayHaveStartedAnewIsNotToldOfEndsOfItsLastLife() {
        WorkScheduler scheduler = WorkFixtures.scheduler(FIRST);
        scheduler.submitted(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.step(1, 1_000, 500)), at(1));
        WorkOrder.Start start =
                WorkFixtures.starts(WorkFixtures.decide(scheduler, at(1), true)).get(0);
        WorkFixtures.answer(
                scheduler, "first", 600, List.of(), List.of(new EndedRun(9, start.run(), RunEnding.DONE, "")));
        WorkFixtures.decide(scheduler, at(600), true);
        scheduler.persisted(1, true);
        assertEquals(9, scheduler.look("first", at(601), true).orElseThrow().acknowledged());
        scheduler.unanswered("first");
        assertEquals(0, scheduler.look("first", at(602), true).orElseThrow().acknowledged());
    }

    @Test
    void aHostThatComesBackToTheRegistryIsNotToldOfEndsOfItsLastLife() {
        WorkScheduler scheduler = WorkFixtures.scheduler(FIRST);
        scheduler.submitted(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.step(1, 1_000, 500)), at(1));
        WorkOrder.Start start =
                WorkFixtures.starts(WorkFixtures.decide(scheduler, at(1), true)).get(0);
        WorkFixtures.answer(
                scheduler, "first", 600, List.of(), List.of(new EndedRun(9, start.run(), RunEnding.DONE, "")));
        WorkFixtures.decide(scheduler, at(600), true);
        scheduler.persisted(1, true);
        scheduler.hostsListed(List.of(), at(700));
        scheduler.hostsListed(List.of(FIRST), at(800));
        assertEquals(0, scheduler.look("first", at(801), true).orElseThrow().acknowledged());
    }

    @Test
    void aTaskWhoseStartGotNoAnswerStartsElsewhereOnlyAfterAConfirmedStop() {
        WorkScheduler scheduler = WorkFixtures.scheduler(FIRST, SECOND);
        scheduler.submitted(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.step(1, 1_000, 500)), at(1));
        WorkOrder.Start start =
                WorkFixtures.starts(WorkFixtures.decide(scheduler, at(1), true)).get(0);
        String host = start.target().host();
        scheduler.startAnswered(host, start.run(), StartOutcome.UNKNOWN, at(600));
        WorkFixtures.answer(scheduler, host, 700, List.of(), List.of());
        List<WorkOrder> orders = WorkFixtures.decide(scheduler, at(701), true);
        assertEquals(List.of(), WorkFixtures.starts(orders));
        assertTrue(orders.contains(new WorkOrder.Stop(start.target(), start.run())));
        scheduler.stopConfirmed(host, start.run(), at(710));
        WorkFixtures.answer(scheduler, host, 720, List.of(), List.of());
        List<WorkOrder.Start> again = WorkFixtures.starts(WorkFixtures.decide(scheduler, at(721), true));
        assertEquals(1, again.size());
        assertNotEquals(start.run(), again.get(0).run());
    }

    @Test
    void aSilentHostsTasksStartElsewhereOnlyAfterItsLeaseHasExpiredOnTheSlowestClock() {
        WorkScheduler scheduler = WorkFixtures.scheduler(FIRST, SECOND);
        scheduler.submitted(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.lasting(1, 0)), at(1));
        List<WorkOrder.Start> starts = WorkFixtures.starts(WorkFixtures.decide(scheduler, at(1), true));
        WorkFixtures.confirm(scheduler, starts, 10);
        String other = starts.get(0).target().host().equals("first") ? "second" : "first";
        long leaseEnd = Math.round(WorkFixtures.TERMS.lease() / SchedulingTerms.SLOWEST_CLOCK);
        WorkFixtures.answer(scheduler, other, leaseEnd - 100, List.of(), List.of());
        assertEquals(List.of(), WorkFixtures.starts(WorkFixtures.decide(scheduler, at(leaseEnd - 100), true)));
        WorkFixtures.answer(scheduler, other, leaseEnd + 200, List.of(), List.of());
        assertEquals(
                List.of(other),
                WorkFixtures.starts(WorkFixtures.decide(scheduler, at(leaseEnd + 200), true)).stream()
                        .map(start -> start.target().host())
                        .toList());
    }

    @Test
    void aServiceOfASuccessorStaysClosedUntilEveryHostOfTheEarlierTermAnswered() {
        EarlierHosts earlier = new EarlierHosts(
                Map.of("first", WorkFixtures.BUSY, "second", WorkFixtures.BUSY),
                Map.of("first", 10_000L, "second", 10_000L),
                Optional.empty());
        WorkScheduler scheduler = new WorkScheduler(WorkFixtures.TERMS, 2, earlier, 0);
        scheduler.hostsListed(List.of(FIRST, SECOND), at(0));
        scheduler.submitted(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.step(1, 1_000, 500)), at(1));
        WorkFixtures.answer(scheduler, "first", 10, List.of(), List.of());
        assertEquals(List.of(), WorkFixtures.starts(WorkFixtures.decide(scheduler, at(11), true)));
        assertEquals(Set.of("second"), scheduler.waitingFor(at(11)));
        WorkFixtures.answer(scheduler, "second", 20, List.of(), List.of());
        assertEquals(
                1,
                WorkFixtures.starts(WorkFixtures.decide(scheduler, at(21), true))
                        .size());
    }

    @Test
    void aSuccessorStartsWhatNoEarlierTermSaidToHaveStartedWhileAHostOfThatTermIsOutOfReach() {
        EarlierHosts earlier = new EarlierHosts(
                Map.of("first", WorkFixtures.BUSY, "second", WorkFixtures.BUSY),
                Map.of("first", 10_000L, "second", 10_000L),
                Optional.of(Set.of("started")));
        WorkScheduler scheduler = new WorkScheduler(WorkFixtures.TERMS, 2, earlier, 0);
        scheduler.hostsListed(List.of(FIRST, SECOND), at(0));
        scheduler.submitted(WorkFixtures.job("started", WorkFixtures.BUSY, 0, WorkFixtures.step(1, 1_000, 500)), at(1));
        scheduler.submitted(WorkFixtures.job("waiting", WorkFixtures.BUSY, 0, WorkFixtures.step(1, 1_000, 500)), at(1));
        WorkFixtures.answer(scheduler, "first", 10, List.of(), List.of());
        assertEquals(
                List.of("waiting"),
                WorkFixtures.starts(WorkFixtures.decide(scheduler, at(11), true)).stream()
                        .map(start -> start.run().task().job())
                        .toList());
    }

    @Test
    void nothingOfAJobStartsBeforeTheStoreHasAStatementThatNamesIt() {
        WorkScheduler scheduler = WorkFixtures.scheduler(FIRST);
        scheduler.submitted(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.step(1, 1_000, 500)), at(1));
        HostsInUse before = scheduler.hostsInUse(at(1));
        assertEquals(List.of(), WorkFixtures.starts(scheduler.decide(at(2), true)));
        scheduler.published(before.generation());
        assertEquals(List.of(), WorkFixtures.starts(scheduler.decide(at(3), true)), "it does not name the job");
        HostsInUse after = scheduler.hostsInUse(at(4));
        assertEquals(Optional.of(Set.of("job")), after.startedJobs());
        scheduler.published(after.generation());
        assertEquals(1, WorkFixtures.starts(scheduler.decide(at(5), true)).size());
    }

    @Test
    void aSuccessorNamesTheStartedJobsOfTheTermBefore() {
        EarlierHosts earlier = new EarlierHosts(Map.of(), Map.of(), Optional.of(Set.of("started")));
        WorkScheduler scheduler = new WorkScheduler(WorkFixtures.TERMS, 2, earlier, 0);
        scheduler.submitted(WorkFixtures.job("started", WorkFixtures.BUSY, 0, WorkFixtures.step(1, 1_000, 500)), at(1));
        assertEquals(Optional.of(Set.of("started")), scheduler.hostsInUse(at(2)).startedJobs());
    }

    @Test
    void aCancellationThatIsReadBeforeItsJobCancelsIt() {
        WorkScheduler scheduler = WorkFixtures.scheduler(FIRST);
        scheduler.cancelled("job", at(1));
        scheduler.submitted(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.step(1, 1_000, 500)), at(2));
        assertEquals(Optional.of(WorkPhase.CANCELED), scheduler.phaseOf("job"));
        assertEquals(List.of(), WorkFixtures.starts(WorkFixtures.decide(scheduler, at(3), true)));
    }

    /** Runs the only task of a job anew on a host, and returns the run. */
    private static RunKey startNext(WorkScheduler scheduler, long now) {
        List<WorkOrder.Start> starts = WorkFixtures.starts(WorkFixtures.decide(scheduler, at(now), true));
        WorkFixtures.confirm(scheduler, starts, now + 1);
        return starts.get(0).run();
    }

    private static List<EndedRun> failed(RunKey run) {
        return List.of(new EndedRun(1, run, RunEnding.FAILED, ""));
    }

    @Test
    void aFailureThatIsListedAfterTheNextRunHasFailedCountsAsWell() {
        WorkScheduler scheduler = WorkFixtures.scheduler(FIRST);
        scheduler.submitted(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.step(1, 1_000, 500)), at(1));
        RunKey lost = startNext(scheduler, 2);
        long gone = Math.round(2 * WorkFixtures.TERMS.lease() / SchedulingTerms.SLOWEST_CLOCK);
        scheduler.hostsListed(List.of(FIRST, SECOND, THIRD), at(gone));
        WorkFixtures.answer(scheduler, "second", gone, List.of(), List.of());
        WorkFixtures.answer(scheduler, "third", gone, List.of(), List.of());
        RunKey second = startNext(scheduler, gone + 10);
        WorkFixtures.answer(scheduler, "second", gone + 20, List.of(), failed(second));
        WorkFixtures.answer(scheduler, "third", gone + 20, List.of(), List.of());
        RunKey third = startNext(scheduler, gone + 30);
        scheduler.persisted(1, true);
        WorkFixtures.answer(scheduler, "first", gone + 40, List.of(), failed(lost));
        WorkFixtures.answer(scheduler, "third", gone + 50, List.of(), failed(third));
        List<WorkOrder> orders = WorkFixtures.decide(scheduler, at(gone + 200), true);
        assertEquals(List.of(), WorkFixtures.starts(orders), "three runs have failed");
        assertEquals(
                List.of(WorkPhase.FAILED),
                orders.stream()
                        .filter(WorkOrder.Persist.class::isInstance)
                        .flatMap(order -> ((WorkOrder.Persist) order).records().stream())
                        .map(WorkProgress::phase)
                        .toList());
    }

    @Test
    void aStepThatNeedsAdviceStartsOnlyWhereThePolicyAllowsItAndWithItsTicket() {
        WorkScheduler scheduler = WorkFixtures.scheduler(FIRST, SECOND);
        QueueTerms advised = new QueueTerms(0, 3, 1.6, 600, Optional.of(new AdvisorTerms(50, 1, 10_000)));
        scheduler.submitted(
                new WorkSubmission(
                        "job",
                        "queue",
                        WorkFixtures.BUSY,
                        advised,
                        "run",
                        List.of(WorkFixtures.step(2, 1_000, 500)),
                        0,
                        0,
                        0,
                        1),
                at(1));
        List<WorkOrder> orders = WorkFixtures.decide(scheduler, at(2), true);
        assertEquals(List.of(), WorkFixtures.starts(orders));
        WorkOrder.AskAdvisor question = orders.stream()
                .filter(WorkOrder.AskAdvisor.class::isInstance)
                .map(WorkOrder.AskAdvisor.class::cast)
                .findFirst()
                .orElseThrow();
        assertEquals("job.0.0", question.name());
        assertEquals(List.of("first", "second"), question.hosts());
        scheduler.advised(question, Optional.of(Map.of("second", "ticket")), 2, at(60));
        List<WorkOrder.Start> starts = WorkFixtures.starts(WorkFixtures.decide(scheduler, at(61), true));
        assertEquals(
                List.of("second", "second"),
                starts.stream().map(start -> start.target().host()).toList());
        assertEquals(Optional.of("ticket"), starts.get(0).ticket());
    }

    @Test
    void anAdoptedRunHasALeaseInTheBooks() {
        EarlierHosts earlier =
                new EarlierHosts(Map.of("first", WorkFixtures.BUSY), Map.of("first", 10_000L), Optional.empty());
        WorkScheduler scheduler = new WorkScheduler(WorkFixtures.TERMS, 2, earlier, 0);
        scheduler.hostsListed(List.of(FIRST), at(0));
        scheduler.submitted(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.step(1, 1_000, 500)), at(1));
        ActiveRun running = new ActiveRun(
                new org.cicadalead.model.work.RunKey(new org.cicadalead.model.work.TaskKey("job", 0, 0, 0), 1),
                "",
                100,
                0);
        WorkFixtures.answer(scheduler, "first", 10, List.of(running), List.of());
        long remaining = scheduler.hostsInUse(at(11)).claims().get("first").remainingLease();
        assertTrue(remaining >= WorkFixtures.TERMS.lease() - 1, "remaining lease is " + remaining);
    }

    @Test
    void aHostThatWasSaidToBeSilentGetsNothingUntilTheStoreSaysOtherwise() {
        WorkScheduler scheduler = WorkFixtures.scheduler(FIRST);
        scheduler.submitted(WorkFixtures.job("first", WorkFixtures.BUSY, 0, WorkFixtures.step(1, 1_000, 500)), at(1));
        List<WorkOrder.Start> running = WorkFixtures.starts(WorkFixtures.decide(scheduler, at(1), true));
        WorkFixtures.confirm(scheduler, running, 5);
        long silent = WorkHost.SILENCE_LIMIT_MILLISECONDS + 10;
        scheduler.hostsInUse(at(silent));
        WorkFixtures.answer(
                scheduler,
                "first",
                silent + 10,
                List.of(new ActiveRun(running.get(0).run(), "", 100, 0)),
                List.of());
        scheduler.submitted(
                WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.step(1, 1_000, 500)), at(silent));
        assertEquals(List.of(), WorkFixtures.starts(WorkFixtures.decide(scheduler, at(silent + 11), true)));
        HostsInUse later = scheduler.hostsInUse(at(silent + 12));
        scheduler.published(later.generation());
        assertEquals(
                1,
                WorkFixtures.starts(WorkFixtures.decide(scheduler, at(silent + 13), true))
                        .size());
    }

    @Test
    void aNewHostNeedsNoWordInTheStore() {
        WorkScheduler scheduler = WorkFixtures.scheduler(FIRST);
        scheduler.hostsListed(List.of(FIRST, SECOND), at(5_000));
        scheduler.hostsInUse(at(5_001));
        WorkFixtures.answer(scheduler, "second", 5_010, List.of(), List.of());
        scheduler.submitted(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.step(1, 1_000, 500)), at(5_010));
        assertEquals(
                List.of("second"),
                WorkFixtures.starts(WorkFixtures.decide(scheduler, at(5_011), true)).stream()
                        .map(start -> start.target().host())
                        .toList());
    }

    @Test
    void aGangStartsAsAWholeWithOneNumberOnOneRack() {
        HostEntry third = WorkFixtures.host("third", WorkFixtures.BUSY, "rack-2");
        WorkScheduler scheduler = WorkFixtures.scheduler(FIRST, SECOND, third);
        scheduler.submitted(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.gang(6, true)), at(1));
        List<WorkOrder.Start> starts = WorkFixtures.starts(WorkFixtures.decide(scheduler, at(1), true));
        assertEquals(6, starts.size());
        assertEquals(
                1,
                starts.stream().map(start -> start.run().attempt()).distinct().count());
        assertEquals(
                Set.of("second", "third"),
                starts.stream().map(start -> start.target().host()).collect(Collectors.toSet()));
    }

    @Test
    void aLastingTaskThatFindsNoRoomTakesThatOfShortOnes() {
        WorkScheduler scheduler = WorkFixtures.scheduler(FIRST);
        scheduler.submitted(WorkFixtures.job("short", WorkFixtures.BUSY, 0, WorkFixtures.step(8, 1_000, 5_000)), at(1));
        List<WorkOrder.Start> starts = WorkFixtures.starts(WorkFixtures.decide(scheduler, at(1), true));
        WorkFixtures.confirm(scheduler, starts, 10);
        scheduler.submitted(WorkFixtures.job("lasting", WorkFixtures.BUSY, 0, WorkFixtures.lasting(1, 0)), at(20));
        WorkFixtures.decide(scheduler, at(20), true);
        List<WorkOrder> orders = WorkFixtures.decide(scheduler, at(21), true);
        List<WorkOrder> stops =
                orders.stream().filter(WorkOrder.Stop.class::isInstance).toList();
        assertEquals(1, stops.size());
        EndedRun stopped = new EndedRun(1, ((WorkOrder.Stop) stops.get(0)).run(), RunEnding.STOPPED, "");
        List<ActiveRun> others = starts.stream()
                .filter(start -> !start.run().equals(stopped.run()))
                .map(start -> new ActiveRun(start.run(), "", 100, 0))
                .toList();
        WorkFixtures.answer(scheduler, "first", 100, others, List.of(stopped));
        assertEquals(
                List.of("lasting"),
                WorkFixtures.starts(WorkFixtures.decide(scheduler, at(101), true)).stream()
                        .map(start -> start.run().task().job())
                        .toList());
    }

    @Test
    void aGangThatDoesNotFitStartsNothing() {
        WorkScheduler scheduler = WorkFixtures.scheduler(FIRST, SECOND);
        scheduler.submitted(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.gang(9, false)), at(1));
        assertEquals(List.of(), WorkFixtures.starts(WorkFixtures.decide(scheduler, at(1), true)));
    }

    @Test
    void aDrainingHostGetsNothingAndItsLastingTasksStartElsewhere() {
        WorkScheduler scheduler = WorkFixtures.scheduler(FIRST);
        scheduler.submitted(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.lasting(1, 0)), at(1));
        List<WorkOrder.Start> starts = WorkFixtures.starts(WorkFixtures.decide(scheduler, at(1), true));
        WorkFixtures.confirm(scheduler, starts, 10);
        scheduler.hostsListed(List.of(WorkFixtures.draining(FIRST), SECOND), at(20));
        WorkFixtures.answer(scheduler, "second", 20, List.of(), List.of());
        List<WorkOrder> orders = WorkFixtures.decide(scheduler, at(21), true);
        assertTrue(orders.contains(
                new WorkOrder.Stop(starts.get(0).target(), starts.get(0).run())));
        WorkFixtures.answer(
                scheduler,
                "first",
                100,
                List.of(),
                List.of(new EndedRun(1, starts.get(0).run(), RunEnding.STOPPED, "")));
        assertEquals(
                List.of("second"),
                WorkFixtures.starts(WorkFixtures.decide(scheduler, at(101), true)).stream()
                        .map(start -> start.target().host())
                        .toList());
    }

    @Test
    void aTaskThatFailedGoesToAnotherHostAndItsJobFailsAfterTheLastAttempt() {
        WorkScheduler scheduler = WorkFixtures.scheduler(FIRST, SECOND);
        scheduler.submitted(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.step(1, 1_000, 500)), at(1));
        WorkOrder.Start one =
                WorkFixtures.starts(WorkFixtures.decide(scheduler, at(1), true)).get(0);
        fail(scheduler, one, 1, 100);
        WorkOrder.Start two = WorkFixtures.starts(WorkFixtures.decide(scheduler, at(101), true))
                .get(0);
        assertNotEquals(one.target().host(), two.target().host());
        fail(scheduler, two, 1, 200);
        WorkOrder.Start three = WorkFixtures.starts(WorkFixtures.decide(scheduler, at(201), true))
                .get(0);
        fail(scheduler, three, 2, 300);
        WorkFixtures.decide(scheduler, at(301), true);
        assertEquals(List.of(), WorkFixtures.starts(WorkFixtures.decide(scheduler, at(400), true)));
    }

    private static void fail(WorkScheduler scheduler, WorkOrder.Start start, long number, long now) {
        WorkFixtures.answer(
                scheduler,
                start.target().host(),
                now,
                List.of(),
                List.of(new EndedRun(number, start.run(), RunEnding.FAILED, "")));
    }

    @Test
    void aLaterTermEndsThisOne() {
        WorkScheduler scheduler = WorkFixtures.scheduler(FIRST);
        scheduler.fenced();
        assertEquals(List.of(new WorkOrder.StandDown()), WorkFixtures.decide(scheduler, at(1), true));
    }

    @Test
    void anotherHostAtTheAddressEndsTheRunsOfTheOneBefore() {
        WorkScheduler scheduler = WorkFixtures.scheduler(FIRST);
        scheduler.submitted(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.step(1, 1_000, 500)), at(1));
        WorkFixtures.confirm(scheduler, WorkFixtures.starts(WorkFixtures.decide(scheduler, at(1), true)), 10);
        HostEntry reborn = new HostEntry(
                "reborn", WorkFixtures.BUSY, FIRST.address(), "zone", false, 50, 0, FIRST.capacity(), FIRST.labels());
        scheduler.hostsListed(List.of(FIRST, reborn), at(100));
        scheduler.listed("reborn", new HostListing(50, 1, List.of(), List.of()), 101, at(102));
        assertEquals(
                List.of("reborn"),
                WorkFixtures.starts(WorkFixtures.decide(scheduler, at(103), true)).stream()
                        .map(start -> start.target().host())
                        .toList());
    }

    private static WorkTime at(long milliseconds) {
        return WorkFixtures.at(milliseconds);
    }
}
