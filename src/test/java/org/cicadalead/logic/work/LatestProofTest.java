package org.cicadalead.logic.work;

import static org.cicadalead.logic.work.WorkFixtures.at;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cicadalead.model.work.ActiveRun;
import org.cicadalead.model.work.EndedRun;
import org.cicadalead.model.work.HostClaim;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.HostListing;
import org.cicadalead.model.work.LeaderRecord;
import org.cicadalead.model.work.RunEnding;
import org.cicadalead.model.work.RunKey;
import org.cicadalead.model.work.StartOutcome;
import org.cicadalead.model.work.TaskKey;
import org.junit.jupiter.api.Test;

/** Leases, verdicts and acknowledgements count from the latest proof at hand, and from no older one (incident 0013). */
class LatestProofTest {
    private static final HostEntry HOST = WorkFixtures.host("host", WorkFixtures.BUSY, "rack");
    private static final HostEntry OTHER = WorkFixtures.host("other", WorkFixtures.QUIET, "rack-2");
    private static final long BOUND = WorkFixtures.TERMS.earlierLeaseExpiryMilliseconds();

    private final WorkScheduler scheduler = WorkFixtures.scheduler(HOST);

    private WorkOrder.Start start(long now) {
        scheduler.addJob(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.step(1, 1_000, 500)), at(now));
        return WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(now), 0)).get(0);
    }

    private OptionalLong leaseAt(long now) {
        return scheduler.createPoll("host", at(now), 0).orElseThrow().deadline();
    }

    /** Guards against a lease that counts from the last list although the host has replied to an order since. */
    @Test
    void countsLeaseFromTheClockInTheReplyToAStart() {
        WorkOrder.Start start = start(1_400);
        scheduler.onClockRead("host", 1_405, 1_401, at(1_410));
        scheduler.onStartReply("host", start.run(), StartOutcome.STARTED, at(1_410));
        assertEquals(
                1_410 + WorkFixtures.TERMS.leaseMilliseconds() - 5,
                leaseAt(1_410).orElseThrow());
        assertTrue(start.deadline() < leaseAt(1_410).orElseThrow());
    }

    /** No lease outlives the horizon after the leader's last record, however new the reading of the clock is. */
    @Test
    void leavesTheBoundOfASuccessorTrueForLeasesThatCountFromANewReading() {
        long record = 1_000;
        WorkOrder.Start start = start(record);
        scheduler.onStartReply("host", start.run(), StartOutcome.STARTED, at(record + 3));
        for (long now = record + 10; now < record + 2_400; now += 10) {
            // The slowest clock, which was read at 0 first.
            long clock = (long) (now * SchedulingTerms.SLOWEST_CLOCK_RATE);
            scheduler.onClockRead("host", clock, now - 3, at(now));
            OptionalLong lease = scheduler
                    .createPoll("host", at(now), now - record)
                    .orElseThrow()
                    .deadline();
            double endsAt = lease.orElse(0) / SchedulingTerms.SLOWEST_CLOCK_RATE;
            assertTrue(endsAt <= record + BOUND, () -> "lease ends at " + endsAt);
        }
    }

    /** Guards against a lease by the clock of a former process: it would lie far ahead on the new one. */
    @Test
    void givesNoLeaseToAHostWhoseClockHasFallenBack() {
        WorkOrder.Start start = start(1_400);
        scheduler.onClockRead("host", 20, 1_401, at(1_410));
        scheduler.onStartReply("host", start.run(), StartOutcome.STARTED, at(1_410));
        assertEquals(OptionalLong.empty(), leaseAt(1_411));
    }

    @Test
    void takesTheSlowestClockForThatOfTheSameProcess() {
        start(1_400);
        scheduler.onClockRead("host", (long) (1_401 * SchedulingTerms.SLOWEST_CLOCK_RATE), 1_401, at(1_403));
        assertTrue(leaseAt(1_404).isPresent());
    }

    @Test
    void ignoresAReadingThatALaterOneHasOvertaken() {
        start(1_400);
        scheduler.onClockRead("host", 1_440, 1_430, at(1_445));
        OptionalLong lease = leaseAt(1_445);
        scheduler.onClockRead("host", 1_410, 1_402, at(1_445));
        assertEquals(lease, leaseAt(1_445));
    }

    /** Guards against work that is left to the long poll which was sent while the host was idle. */
    @Test
    void pollsAgainWhenWorkStartsDuringThePollOfAnIdleHost() {
        assertEquals(
                1_500, scheduler.createPoll("host", at(1_000), 0).orElseThrow().waitMilliseconds());
        WorkOrder.Start start = start(1_200);
        scheduler.onStartReply("host", start.run(), StartOutcome.STARTED, at(1_205));
        assertTrue(scheduler.isPollDue("host"));
        assertEquals(
                300, scheduler.createPoll("host", at(1_205), 0).orElseThrow().waitMilliseconds());
        assertFalse(scheduler.isPollDue("host"));
    }

    /** Guards against a list that shows an older state than the last one, as replies overtake each other. */
    @Test
    void ignoresAListThatALaterOneHasOvertaken() {
        WorkOrder.Start start = start(100);
        scheduler.onStartReply("host", start.run(), StartOutcome.STARTED, at(104));
        ActiveRun active = new ActiveRun(start.run(), "", WorkRun.FULL_SPEED_PERCENT, 0);
        scheduler.onHostListing("host", "host:1", new HostListing(1, 300, List.of(active), List.of()), 110, at(310));
        scheduler.onHostListing("host", "host:1", new HostListing(1, 250, List.of(), List.of()), 105, at(311));
        assertEquals(List.of(), WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(312), 0)));
        assertEquals(List.of(), scheduler.takeLostRuns());
    }

    /** Guards against ends that a suspended leader acknowledges on a host that restarted meanwhile (issue 21). */
    @Test
    void acknowledgesNothingAfterAReplyThatWasHandledLate() {
        WorkOrder.Start start = start(100);
        scheduler.onStartReply("host", start.run(), StartOutcome.STARTED, at(104));
        WorkFixtures.replyToPoll(
                scheduler, "host", 700, List.of(), List.of(new EndedRun(1, start.run(), RunEnding.DONE, "")));
        storeProgress(701);
        assertEquals(1, scheduler.createPoll("host", at(702), 0).orElseThrow().acknowledged());
        // The process was suspended from 710 ms on with the reply on its way.
        scheduler.onHostListing("host", new HostListing(1, 705, List.of(), List.of()), 702, at(5_000));
        HostPollRequest next = scheduler.createPoll("host", at(5_001), 4_300).orElseThrow();
        assertEquals(0, next.acknowledged());
        assertEquals(OptionalLong.empty(), next.deadline());
    }

    private void storeProgress(long now) {
        for (WorkOrder order : WorkFixtures.decide(scheduler, at(now), 0)) {
            if (order instanceof WorkOrder.Persist persist) {
                scheduler.onBatchResult(persist.batch(), true);
            }
        }
    }

    /**
     * Guards against a start by a leader that has been superseded: its successor may have stored the end of the run
     * before it ended the host.
     */
    @Test
    void startsTaskOfAnEndedHostOnlyAfterALaterRecordOfTheLeader() {
        WorkScheduler leader = WorkFixtures.scheduler(HOST, WorkFixtures.host("second", WorkFixtures.BUSY, "rack-2"));
        leader.addJob(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.step(1, 1_000, 500)), at(100));
        WorkOrder.Start start =
                WorkFixtures.startsIn(WorkFixtures.decide(leader, at(100), 0)).get(0);
        WorkFixtures.confirmStarts(leader, List.of(start), 104);
        String host = start.target().host();
        ActiveRun active = new ActiveRun(start.run(), "", WorkRun.FULL_SPEED_PERCENT, 0);
        WorkFixtures.replyToPoll(leader, host, 300, List.of(active), List.of());
        leader.onHostReplaced(host, start.target().address(), 400);
        WorkFixtures.replyToPoll(leader, host.equals("host") ? "second" : "host", 401, List.of(), List.of());
        assertEquals(List.of(), WorkFixtures.startsIn(leader.decide(at(402), 250)));
        leader.onAnnouncementStored(leader.announceHostsInUse(at(410)).generation());
        assertEquals(1, WorkFixtures.startsIn(leader.decide(at(420), 10)).size());
    }

    /**
     * Guards against a start by the successor of a term that had read only a part of a host's ends when the host fell
     * silent: its lease of the term before goes on.
     */
    @Test
    void claimsTheLeaseOfAnEarlierTermOnAHostThatHasNotListedAllEnds() {
        LeaderRecord last = new LeaderRecord(
                1,
                "process",
                "address",
                false,
                Map.of("host", new HostClaim(WorkFixtures.BUSY, true, 0, Optional.empty())),
                Optional.of(Set.of("job")),
                Optional.of(BOUND));
        WorkScheduler successor = new WorkScheduler(
                WorkFixtures.TERMS,
                2,
                EarlierHosts.from(new EarlierTerm(last, 0), List.of(HOST, OTHER), WorkFixtures.TERMS, 1_000),
                1_000);
        successor.updateHosts(List.of(HOST, OTHER), at(1_000));
        RunKey run = new RunKey(new TaskKey("job", 0, 0, 0), 1);
        successor.onHostListing(
                "host",
                "host:1",
                new HostListing(1, 1_010, List.of(), List.of(new EndedRun(1, run, RunEnding.DONE, "")), true),
                1_005,
                at(1_010));
        HostClaim claim = successor.announceHostsInUse(at(4_000)).claims().get("host");
        assertFalse(claim.answering());
        assertTrue(claim.remainingLease() >= BOUND - 4_000, () -> "remaining lease is " + claim.remainingLease());
    }
}
