package org.cicadalead.logic.work;

import static org.cicadalead.logic.work.WorkFixtures.at;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cicadalead.model.work.HostClaim;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.LeaderRecord;
import org.cicadalead.model.work.StartOutcome;
import org.junit.jupiter.api.Test;

/**
 * A term that has not confirmed a record for a while may have a successor, which renews leases of runs that it adopts.
 * So the term must not count on the expiry of a lease that comes after its last confirmed record.
 */
class OverlappingTermsTest {
    private static final HostEntry LOST = WorkFixtures.host("lost", WorkFixtures.BUSY, "rack");
    private static final HostEntry OTHER = WorkFixtures.host("other", WorkFixtures.BUSY, "rack");
    private static final long BOUND = WorkFixtures.TERMS.earlierLeaseExpiryMilliseconds();

    private static int countStarts(WorkScheduler scheduler, long now, long confirmedAt) {
        return WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(now), now - confirmedAt))
                .size();
    }

    @Test
    void startsNothingOnExpiryOfEarlierLeasesThatSuccessorMayHaveRenewed() {
        LeaderRecord earlier = new LeaderRecord(
                1,
                "process",
                "address",
                false,
                Map.of("lost", new HostClaim(WorkFixtures.BUSY, true, 0, Optional.empty())),
                Optional.empty(),
                Optional.of(BOUND));
        WorkScheduler scheduler = new WorkScheduler(
                WorkFixtures.TERMS,
                2,
                EarlierHosts.from(new EarlierTerm(earlier, 0), List.of(OTHER), WorkFixtures.TERMS, 0),
                0);
        scheduler.updateHosts(List.of(OTHER), at(0));
        scheduler.addJob(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.longRunningStep(1, 0)), at(1));
        WorkFixtures.decide(scheduler, at(1), 0);
        WorkFixtures.replyToPoll(scheduler, "other", BOUND, List.of(), List.of());
        scheduler.onAnnouncementStored(scheduler.announceHostsInUse(at(BOUND)).generation());
        assertEquals(0, countStarts(scheduler, BOUND + 500, BOUND - 1));
        assertEquals(1, countStarts(scheduler, BOUND + 510, BOUND));
    }

    @Test
    void restartsNothingOnExpiryOfOwnLeasesThatSuccessorMayHaveRenewed() {
        WorkScheduler scheduler = WorkFixtures.scheduler(LOST);
        scheduler.addJob(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.longRunningStep(1, 0)), at(1));
        WorkOrder.Start start =
                WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(1), 0)).get(0);
        scheduler.onStartReply("lost", start.run(), StartOutcome.STARTED, at(2));
        long expiry = scheduler.announceHostsInUse(at(2)).claims().get("lost").remainingLease() + 2;
        scheduler.updateHosts(List.of(LOST, OTHER), at(expiry));
        WorkFixtures.replyToPoll(scheduler, "other", expiry, List.of(), List.of());
        assertEquals(0, countStarts(scheduler, expiry + 500, expiry - 1));
        assertEquals(
                1, WorkFixtures.startsAfterStoring(scheduler, expiry + 510, 510).size());
    }
}
