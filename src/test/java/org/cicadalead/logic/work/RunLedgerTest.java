package org.cicadalead.logic.work;

import static org.cicadalead.logic.work.WorkFixtures.at;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.HostListing;
import org.cicadalead.model.work.StartOutcome;
import org.junit.jupiter.api.Test;

class RunLedgerTest {
    private static final HostEntry HOST = WorkFixtures.host("host", WorkFixtures.BUSY, "rack");

    private final WorkScheduler scheduler = WorkFixtures.scheduler(HOST);

    private WorkOrder.Start startTask(long now) {
        scheduler.addJob(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.step(1, 1_000, 500)), at(now));
        WorkOrder.Start start = WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(now), true))
                .get(0);
        scheduler.onStartReply("host", start.run(), StartOutcome.STARTED, at(now + 4));
        return start;
    }

    private void listNoRunsAfterRestart(long sentAt, long now) {
        scheduler.onHostListing("host", new HostListing(2, now, List.of(), List.of()), sentAt, at(now));
    }

    @Test
    void keepsRunThatRestartedHostStartedAfterItsListingWasRequested() {
        startTask(100);
        listNoRunsAfterRestart(99, 106);
        assertEquals(List.of(), WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(107), true)));
        long remaining =
                scheduler.announceHostsInUse(at(107)).claims().get("host").remainingLease();
        assertTrue(remaining >= WorkFixtures.TERMS.leaseMilliseconds() - 1, "remaining lease is " + remaining);
    }

    @Test
    void restartsTaskOfRestartedHostOnceItsListingWasRequestedLater() {
        startTask(100);
        listNoRunsAfterRestart(105, 106);
        assertEquals(
                1,
                WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(107), true))
                        .size());
    }

    @Test
    void stopsRunWhoseOrderHasNoOutcomeAndThatHostDoesNotList() {
        scheduler.addJob(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.longRunningStep(1, 0)), at(100));
        WorkOrder.Start start = WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(100), true))
                .get(0);
        WorkFixtures.replyToPoll(scheduler, "host", 2_100, List.of(), List.of());
        assertEquals(
                List.of(new WorkOrder.Stop(start.target(), start.run())),
                WorkFixtures.decide(scheduler, at(2_101), true));
        scheduler.onStopConfirmed("host", start.run(), at(2_110));
        WorkFixtures.replyToPoll(scheduler, "host", 2_120, List.of(), List.of());
        assertEquals(
                1,
                WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(2_121), true))
                        .size());
    }

    private long pollWait(long now) {
        return scheduler.createPoll("host", at(now), true).orElseThrow().waitMilliseconds();
    }

    @Test
    void asksForListsAtShortIntervalsUntilStartWithoutReplyIsResolved() {
        scheduler.addJob(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.longRunningStep(1, 0)), at(100));
        WorkOrder.Start start = WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(100), true))
                .get(0);
        assertEquals(1_000, pollWait(101));
        scheduler.onStartReply("host", start.run(), StartOutcome.UNKNOWN, at(700));
        assertEquals(100, pollWait(701));
        WorkFixtures.replyToPoll(scheduler, "host", 710, List.of(), List.of());
        assertEquals(100, pollWait(711));
        scheduler.onStopConfirmed("host", start.run(), at(720));
        assertEquals(100, pollWait(721));
        WorkFixtures.replyToPoll(scheduler, "host", 730, List.of(), List.of());
        assertEquals(
                1,
                WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(731), true))
                        .size());
    }

    @Test
    void ordersNothingOnHostThatMayHaveRestartedUntilItReplies() {
        scheduler.onPollFailed("host");
        scheduler.addJob(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.step(1, 1_000, 500)), at(100));
        assertEquals(List.of(), WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(100), true)));
        WorkFixtures.replyToPoll(scheduler, "host", 200, List.of(), List.of());
        assertEquals(
                1,
                WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(201), true))
                        .size());
    }

    @Test
    void keepsRunOfHostThatRepliedAfterTheListOfItsMachineWasRequested() {
        startTask(100);
        scheduler.createMachineView().onHostDown("host", -1);
        assertTrue(scheduler.createPoll("host", at(107), true).isPresent());
    }

    @Test
    void dropsRunOfHostThatHasNotRepliedSinceTheListOfItsMachineWasRequested() {
        startTask(100);
        scheduler.createMachineView().onHostDown("host", 101);
        assertEquals(Optional.empty(), scheduler.createPoll("host", at(107), true));
    }
}
