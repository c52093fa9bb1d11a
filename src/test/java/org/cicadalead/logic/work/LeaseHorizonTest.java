package org.cicadalead.logic.work;

import static org.cicadalead.logic.work.WorkFixtures.at;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cicadalead.model.work.ActiveRun;
import org.cicadalead.model.work.EndedRun;
import org.cicadalead.model.work.HostClaim;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.HostListing;
import org.cicadalead.model.work.LeaderRecord;
import org.cicadalead.model.work.RunEnding;
import org.cicadalead.model.work.RunKey;
import org.cicadalead.model.work.TaskKey;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Limits of the lease horizon: hosts that restart unnoticed, and services without room when they open. */
class LeaseHorizonTest {
    private static final HostEntry FIRST = WorkFixtures.host("first", WorkFixtures.BUSY, "rack");
    private static final HostEntry SECOND = WorkFixtures.host("second", WorkFixtures.BUSY, "rack");
    private static final long LONGEST_LEASE = WorkFixtures.TERMS.maximumLeaseMilliseconds();
    private static final long BOUND = WorkFixtures.TERMS.earlierLeaseExpiryMilliseconds();

    private static EarlierHosts afterRecordSentAt(long sentAt, long now, Optional<Set<String>> startedJobs) {
        LeaderRecord last = new LeaderRecord(
                1,
                "process",
                "address",
                false,
                Map.of("first", new HostClaim(WorkFixtures.BUSY, true, 0, Optional.empty())),
                startedJobs,
                Optional.of(BOUND));
        return EarlierHosts.from(new EarlierTerm(last, sentAt), List.of(SECOND), WorkFixtures.TERMS, now);
    }

    private static long countStarts(List<WorkOrder> orders, String job) {
        return WorkFixtures.startsIn(orders).stream()
                .filter(start -> start.run().task().job().equals(job))
                .count();
    }

    /** The earlier leader ordered the run by the clock of the former process; the new one shortened that. */
    @Test
    void keepsTaskOfAdoptedRunUntilLeaseOfRestartedHostHasExpired() {
        WorkScheduler scheduler = WorkFixtures.scheduler(FIRST, SECOND);
        scheduler.addJob(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.longRunningStep(1, 0)), at(1));
        RunKey run = new RunKey(new TaskKey("job", 0, 0, 0), 1);
        long clock = 50;
        long deadline = clock + LONGEST_LEASE;
        scheduler.onHostListing(
                "first",
                new HostListing(1, clock, List.of(new ActiveRun(run, "", 100, 0)), List.of()),
                1_000,
                at(1_000));
        long now = 1_000 + 5_900;
        long clockNow = clock + Math.round((now - 1_000) * SchedulingTerms.SLOWEST_CLOCK_RATE);
        assertTrue(clockNow < deadline);
        WorkFixtures.replyToPoll(scheduler, "second", now, List.of(), List.of());
        assertEquals(0, countStarts(WorkFixtures.decide(scheduler, at(now), 0), "job"));
    }

    /** The order is carried out at once; the poll of the former process has not timed out yet. */
    @Tag("known-red")
    @Test
    void keepsTaskUntilRunOnHostThatRestartedUnnoticedHasEnded() {
        long record = 100_000;
        WorkScheduler leader = WorkFixtures.scheduler(FIRST);
        WorkFixtures.replyToPoll(leader, "first", record - 10, List.of(), List.of());
        leader.onAnnouncementStored(leader.announceHostsInUse(at(record - 5)).generation());
        leader.onAnnouncementStored(leader.announceHostsInUse(at(record)).generation());
        WorkFixtures.replyToPoll(leader, "first", record + 1_000, List.of(), List.of());
        leader.addJob(
                WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.longRunningStep(1, 0)), at(record - 9_000));
        long orderedAt = record + 2_400;
        WorkOrder.Start start = WorkFixtures.startsIn(WorkFixtures.decide(leader, at(orderedAt), orderedAt - record))
                .get(0);
        // The new process began at record + 2,000.
        long newClock = orderedAt - (record + 2_000);
        long runEndsAt = orderedAt + Math.min(start.deadline() - newClock, LONGEST_LEASE);

        long now = record + BOUND;
        WorkScheduler successor = new WorkScheduler(
                WorkFixtures.TERMS, 2, afterRecordSentAt(record, record + 2_500, Optional.empty()), record + 2_500);
        successor.updateHosts(List.of(SECOND), at(record + 2_500));
        successor.addJob(
                WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.longRunningStep(1, 0)), at(record + 2_500));
        WorkFixtures.replyToPoll(successor, "second", now, List.of(), List.of());
        long starts = countStarts(WorkFixtures.decide(successor, at(now), 0), "job");
        assertTrue(starts == 0, () -> "started " + (runEndsAt - now) + " ms before the end of the other run");
    }

    /** Everything but the gate is ready, and hosts take a second to stop a run. */
    @Test
    void startsLastingTaskWithinSevenSecondsWhenItsServiceIsFull() {
        long stopTime = 1_000;
        long readingLag = 100;
        WorkScheduler scheduler = new WorkScheduler(
                WorkFixtures.TERMS, 2, afterRecordSentAt(readingLag, 1_700, Optional.of(Set.of("lasting"))), 1_700);
        scheduler.updateHosts(List.of(SECOND), at(1_700));
        WorkFixtures.replyToPoll(scheduler, "second", 1_710, List.of(), List.of());
        scheduler.addJob(
                WorkFixtures.job("lasting", WorkFixtures.BUSY, 0, WorkFixtures.longRunningStep(1, 0)), at(1_700));
        scheduler.addJob(
                WorkFixtures.job("short", WorkFixtures.BUSY, 1_700, WorkFixtures.step(8, 1_000, 60_000)), at(1_700));
        List<WorkOrder.Start> shortRuns = WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(1_720), 0));
        assertEquals(8, shortRuns.size());
        WorkFixtures.confirmStarts(scheduler, shortRuns, 1_730);
        List<RunKey> stopping = new ArrayList<>();
        long stopOrderedAt = Long.MAX_VALUE / 2;
        long startedAt = Long.MAX_VALUE / 2;
        for (long now = 1_800; now < 9_000 && startedAt > now; now += 50) {
            long confirmedAt = (now - 50) / 300 * 300;
            scheduler.onAnnouncementStored(scheduler.announceHostsInUse(at(now)).generation());
            List<EndedRun> ends = new ArrayList<>();
            if (now >= stopOrderedAt + stopTime) {
                stopping.forEach(run -> ends.add(new EndedRun(ends.size() + 1L, run, RunEnding.STOPPED, "")));
            }
            List<ActiveRun> active = shortRuns.stream()
                    .filter(start -> ends.isEmpty() || !stopping.contains(start.run()))
                    .map(start -> new ActiveRun(start.run(), "", 100, 0))
                    .toList();
            WorkFixtures.replyToPoll(scheduler, "second", now, active, ends);
            List<WorkOrder> orders = scheduler.decide(at(now), now - confirmedAt);
            for (WorkOrder order : orders) {
                if (order instanceof WorkOrder.Stop stop && !stopping.contains(stop.run())) {
                    stopping.add(stop.run());
                    stopOrderedAt = now;
                }
            }
            if (countStarts(orders, "lasting") > 0) {
                startedAt = now;
            }
        }
        long started = startedAt;
        long stopped = stopOrderedAt;
        assertTrue(started <= 7_000, () -> "stop ordered at " + stopped + ", started at " + started);
    }

    @Test
    void namesBackoffAsCauseThatExcludesHost() {
        WorkHost host = new WorkHost(FIRST, 0);
        host.applyListing(new HostListing(1, 0, List.of(), List.of()), 0);
        for (int failure = 0; failure < 3; failure++) {
            host.countFailure(1);
        }
        assertEquals(false, host.canAcceptWork(2));
        assertEquals(HostExclusion.AFTER_FAILURES, HostExclusion.findForAnyStep(host, 2));
    }
}
