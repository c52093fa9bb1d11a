package org.cicadalead.logic.work;

import static org.cicadalead.logic.work.WorkFixtures.at;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cicadalead.model.work.ActiveRun;
import org.cicadalead.model.work.ClientAccounts;
import org.cicadalead.model.work.EndedRun;
import org.cicadalead.model.work.HostCapacity;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.RunEnding;
import org.cicadalead.model.work.RunKey;
import org.cicadalead.model.work.StartOutcome;
import org.cicadalead.model.work.StepSpecification;
import org.cicadalead.model.work.TaskKey;
import org.junit.jupiter.api.Test;

/**
 * Limits of an account within one term. Load: the account has more tasks waiting than its limit and its hosts hold;
 * each task takes one core, each host has eight.
 */
class AccountLimitTest {
    private static final int HOST_COUNT = 4;
    private static final long TASK = 1_000;
    private static final HostEntry[] HOSTS = new HostEntry[HOST_COUNT];

    static {
        for (int number = 0; number < HOST_COUNT; number++) {
            HOSTS[number] = WorkFixtures.host("host-" + number, WorkFixtures.BUSY, "rack");
        }
    }

    private final WorkScheduler scheduler = WorkFixtures.scheduler(HOSTS);

    private void limitTo(long milliCores) {
        scheduler.updateAccounts(WorkFixtures.accounts(WorkFixtures.account("large", 1, milliCores)));
    }

    private void submit(String job, StepSpecification... steps) {
        scheduler.addJob(WorkFixtures.jobOf("large", job, WorkFixtures.BUSY, 0, steps), at(1));
    }

    private List<WorkOrder.Start> decide(long now) {
        return WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(now), 0));
    }

    /** Lists the runs of the given starts as active on their hosts, and nothing else on any host. */
    private void list(long now, List<WorkOrder.Start> active) {
        list(now, active, HOST_COUNT);
    }

    private void list(long now, List<WorkOrder.Start> active, int hosts) {
        for (int number = 0; number < hosts; number++) {
            String host = HOSTS[number].identifier();
            List<ActiveRun> runs = active.stream()
                    .filter(start -> start.target().host().equals(host))
                    .map(start -> new ActiveRun(start.run(), "", WorkRun.FULL_SPEED_PERCENT, 0))
                    .toList();
            WorkFixtures.replyToPoll(scheduler, host, now, runs, List.of());
        }
    }

    private void reply(List<WorkOrder.Start> starts, StartOutcome outcome, long now) {
        starts.forEach(start -> scheduler.onStartReply(start.target().host(), start.run(), outcome, at(now)));
    }

    @Test
    void startsNoMoreThanLimitOverAllHosts() {
        limitTo(10 * TASK);
        submit("job", WorkFixtures.step(30, TASK, 1_000));
        List<WorkOrder.Start> starts = decide(2);
        assertEquals(10, starts.size());
        reply(starts, StartOutcome.STARTED, 3);
        list(5, starts);
        assertEquals(List.of(), decide(6));
    }

    @Test
    void startsNextTaskWhenOneEnds() {
        limitTo(10 * TASK);
        submit("job", WorkFixtures.step(30, TASK, 1_000));
        List<WorkOrder.Start> starts = decide(2);
        reply(starts, StartOutcome.STARTED, 3);
        list(5, starts);
        WorkOrder.Start ended = starts.get(0);
        List<ActiveRun> active = starts.stream()
                .filter(start -> !start.equals(ended) && start.target().equals(ended.target()))
                .map(start -> new ActiveRun(start.run(), "", WorkRun.FULL_SPEED_PERCENT, 0))
                .toList();
        WorkFixtures.replyToPoll(
                scheduler,
                ended.target().host(),
                100,
                active,
                List.of(new EndedRun(1, ended.run(), RunEnding.DONE, "")));
        assertEquals(1, decide(101).size());
    }

    @Test
    void countsRunsWhoseStartIsUncertain() {
        limitTo(10 * TASK);
        submit("job", WorkFixtures.step(30, TASK, 1_000));
        List<WorkOrder.Start> starts = decide(2);
        reply(starts, StartOutcome.UNKNOWN, 500);
        assertEquals(List.of(), decide(501));
        list(600, List.of());
        assertEquals(List.of(), decide(601), "stops are not confirmed yet");
    }

    @Test
    void countsRunsThatAreBeingStopped() {
        limitTo(10 * TASK);
        submit("cancelled", WorkFixtures.step(30, TASK, 1_000));
        List<WorkOrder.Start> starts = decide(2);
        reply(starts, StartOutcome.STARTED, 3);
        list(5, starts);
        scheduler.cancelJob("cancelled", at(10));
        submit("job", WorkFixtures.step(30, TASK, 1_000));
        assertEquals(List.of(), decide(11));
        starts.forEach(start -> scheduler.onStopConfirmed(start.target().host(), start.run(), at(20)));
        assertEquals(List.of(), decide(21), "the hosts still list the runs");
        list(30, List.of());
        assertEquals(10, decide(31).size());
    }

    @Test
    void countsOrphanedRunsOfKnownJobsUntilTheirHostListsThemNoMore() {
        limitTo(10 * TASK);
        submit("cancelled", WorkFixtures.step(4, TASK, 1_000));
        scheduler.cancelJob("cancelled", at(1));
        List<ActiveRun> orphans = new ArrayList<>();
        for (int index = 0; index < 4; index++) {
            orphans.add(new ActiveRun(new RunKey(new TaskKey("cancelled", 0, 0, index), 1), "", 100, 0));
        }
        WorkFixtures.replyToPoll(scheduler, "host-0", 2, orphans, List.of());
        submit("job", WorkFixtures.step(30, TASK, 1_000));
        assertEquals(6, decide(3).size());
        WorkFixtures.replyToPoll(scheduler, "host-0", 10, List.of(), List.of());
        assertEquals(4, decide(11).size());
    }

    @Test
    void countsOrphanedRunsOfSilentHostUntilTheirLeaseHasExpired() {
        limitTo(10 * TASK);
        submit("cancelled", WorkFixtures.step(10, TASK, 1_000));
        scheduler.cancelJob("cancelled", at(1));
        List<ActiveRun> orphans = new ArrayList<>();
        for (int index = 0; index < 10; index++) {
            orphans.add(new ActiveRun(new RunKey(new TaskKey("cancelled", 0, 0, index), 1), "", 100, 0));
        }
        WorkFixtures.replyToPoll(scheduler, "host-3", 2, orphans, List.of());
        scheduler.updateHosts(List.of(HOSTS[0], HOSTS[1], HOSTS[2]), at(3));
        submit("job", WorkFixtures.step(30, TASK, 1_000));
        list(5_690, List.of(), 3);
        assertEquals(List.of(), decide(5_691), "the orphaned runs may have a lease");
        long expired = 3 + Math.round(WorkFixtures.TERMS.longestAdoptedLeaseMilliseconds() / 0.98) + 10;
        list(expired, List.of(), 3);
        assertEquals(10, decide(expired).size());
    }

    @Test
    void countsRunsOnSilentHostUntilLeaseHasExpired() {
        limitTo(10 * TASK);
        submit("job", WorkFixtures.step(30, TASK, 1_000));
        List<WorkOrder.Start> starts = decide(2);
        reply(starts, StartOutcome.STARTED, 3);
        list(200, starts);
        long onSilent = starts.stream()
                .filter(start -> start.target().host().equals("host-3"))
                .count();
        assertNotEquals(0, onSilent);
        List<WorkOrder.Start> heard = starts.stream()
                .filter(start -> !start.target().host().equals("host-3"))
                .toList();
        list(5_000, heard, 3);
        assertEquals(List.of(), decide(5_001));
        assertEquals(List.of(), decide(6_199));
        long expired = 200 + WorkFixtures.TERMS.maximumLeaseMilliseconds();
        list(expired, heard, 3);
        assertEquals(onSilent, decide(expired).size());
    }

    @Test
    void startsGangOnlyWhenAllOfItFits() {
        limitTo(7 * TASK);
        submit("filling", WorkFixtures.step(4, TASK, 1_000));
        List<WorkOrder.Start> filling = decide(2);
        assertEquals(4, filling.size());
        submit("gang", WorkFixtures.gangStep(2, false));
        assertEquals(List.of(), decide(3), "two tasks of two cores do not fit beside four cores of seven");
        reply(filling, StartOutcome.STARTED, 4);
        scheduler.cancelJob("filling", at(5));
        decide(6);
        filling.forEach(start -> scheduler.onStopConfirmed(start.target().host(), start.run(), at(7)));
        list(8, List.of());
        assertEquals(2, decide(9).size());
    }

    @Test
    void countsDeclaredProcessorsOfStepsThatUseSpareCapacity() {
        limitTo(5 * TASK);
        submit("spare", WorkFixtures.spareCapacityStep(30, TASK));
        assertEquals(5, decide(2).size());
    }

    @Test
    void limitsMemoryAndAccelerators() {
        scheduler.updateAccounts(WorkFixtures.accounts(WorkFixtures.account("large", 1, new HostCapacity(0, 350, 0))));
        submit("job", WorkFixtures.step(30, TASK, 1_000));
        assertEquals(3, decide(2).size(), "tasks of 100 MB");
    }

    @Test
    void startsTaskLargerThanHalfOfLimitAlone() {
        limitTo(2 * TASK);
        submit("job", WorkFixtures.step(3, 3 * TASK, 1_000));
        assertEquals(1, decide(2).size(), "it could never run else");
    }

    @Test
    void startsNothingAfterLimitHasFallenByNineTenthsUntilItFits() {
        limitTo(20 * TASK);
        submit("job", WorkFixtures.step(60, TASK, 1_000));
        List<WorkOrder.Start> starts = decide(2);
        assertEquals(20, starts.size());
        reply(starts, StartOutcome.STARTED, 3);
        list(5, starts);
        limitTo(2 * TASK);
        long number = 0;
        for (int ended = 1; ended <= 20; ended++) {
            List<WorkOrder.Start> left = starts.subList(ended, 20);
            WorkOrder.Start last = starts.get(ended - 1);
            List<ActiveRun> active = left.stream()
                    .filter(start -> start.target().equals(last.target()))
                    .map(start -> new ActiveRun(start.run(), "", WorkRun.FULL_SPEED_PERCENT, 0))
                    .toList();
            number++;
            WorkFixtures.replyToPoll(
                    scheduler,
                    last.target().host(),
                    100 + ended,
                    active,
                    List.of(new EndedRun(number, last.run(), RunEnding.DONE, "")));
            int expected = ended == 19 || ended == 20 ? 1 : 0;
            assertEquals(expected, decide(100 + ended).size(), ended + " runs have ended");
        }
    }

    @Test
    void keepsLastLimitOfAccountThatNewestConfigurationDoesNotName() {
        limitTo(2 * TASK);
        scheduler.updateAccounts(ClientAccounts.of(List.of()));
        submit("job", WorkFixtures.step(30, TASK, 1_000));
        assertEquals(2, decide(2).size());
    }

    @Test
    void startsNoWorkOfAccountsBeforeConfigurationIsKnown() {
        submit("job", WorkFixtures.step(30, TASK, 1_000));
        scheduler.addJob(WorkFixtures.job("public", WorkFixtures.BUSY, 0, WorkFixtures.step(2, TASK, 1_000)), at(1));
        assertEquals(2, decide(2).size());
    }

    /** A leader that was frozen, or that the store refuses, may not know that a limit has fallen. */
    @Test
    void startsNoWorkOfAccountsByConfigurationThatMayBeOutdated() {
        limitTo(10 * TASK);
        submit("job", WorkFixtures.step(30, TASK, 1_000));
        scheduler.setAccountsOutdated(true);
        assertEquals(List.of(), decide(2));
        scheduler.setAccountsOutdated(false);
        assertEquals(10, decide(3).size());
    }

    @Test
    void startsNothingBeyondSmallestAllowanceThatMayBeLastInStore() {
        limitTo(20 * TASK);
        submit("job", WorkFixtures.step(4, TASK, 1_000));
        List<WorkOrder.Start> starts = decide(2);
        assertEquals(4, starts.size());
        submit("more", WorkFixtures.step(4, TASK, 1_000));
        assertEquals(List.of(), WorkFixtures.startsIn(scheduler.decide(at(3), 0)));
        HostsInUse announcement = scheduler.announceHostsInUse(at(4));
        assertEquals(
                Optional.of(Map.of("large", new HostCapacity(8 * TASK, 800, 0))), announcement.accountAllowances());
        assertFalse(scheduler.hasPendingStartIntents());
        assertEquals(List.of(), WorkFixtures.startsIn(scheduler.decide(at(5), 0)), "not stored yet");
        scheduler.onAnnouncementStored(announcement.generation());
        assertEquals(4, WorkFixtures.startsIn(scheduler.decide(at(6), 0)).size());
    }

    @Test
    void losesNoUsageWhenHostLeavesAndReturns() {
        limitTo(10 * TASK);
        submit("job", WorkFixtures.step(30, TASK, 1_000));
        List<WorkOrder.Start> starts = decide(2);
        reply(starts, StartOutcome.STARTED, 3);
        list(200, starts);
        scheduler.onHostEnded("host-0");
        scheduler.onHostEnded("host-0");
        long lost = starts.stream()
                .filter(start -> start.target().host().equals("host-0"))
                .count();
        assertEquals(lost, decide(201).size());
        assertEquals(List.of(), decide(202));
    }
}
