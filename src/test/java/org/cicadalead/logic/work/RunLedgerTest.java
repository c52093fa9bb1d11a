package org.cicadalead.logic.work;

import static org.cicadalead.logic.work.WorkFixtures.at;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.HostListing;
import org.cicadalead.model.work.StartOutcome;
import org.junit.jupiter.api.Test;

class RunLedgerTest {
    private static final HostEntry HOST = WorkFixtures.host("host", WorkFixtures.BUSY, "rack-1");

    /** The order reaches the new incarnation after it has answered the poll, and its reply overtakes that answer. */
    @Test
    void doesNotStartTaskAgainWhenPollThatRevealsRestartIsOlderThanItsStart() {
        WorkScheduler scheduler = WorkFixtures.scheduler(HOST);
        scheduler.addJob(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.step(1, 1_000, 500)), at(100));
        long pollSentAt = 100;
        WorkOrder.Start start = WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(101), true))
                .get(0);
        scheduler.onStartReply("host", start.run(), StartOutcome.STARTED, at(110));
        scheduler.onHostListing("host", new HostListing(50, 1, List.of(), List.of()), pollSentAt, at(112));
        assertEquals(List.of(), WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(113), true)));
        scheduler.onHostListing("host", new HostListing(50, 1, List.of(), List.of()), 114, at(116));
        assertEquals(
                1,
                WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(117), true))
                        .size());
    }
}
