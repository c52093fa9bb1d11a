package org.cicadalead.logic.work;

import static org.cicadalead.logic.work.WorkFixtures.at;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.cicadalead.model.work.HostEntry;
import org.junit.jupiter.api.Test;

/** Waits of lasting tasks over changes of the leader. All times are milliseconds of one monotonic clock. */
class SuccessiveTermsTest {
    /** Time after its last run within which the platform expects a lasting task to run again. */
    private static final long LONGEST_STANDSTILL = 6_000;

    /** Time from the last heartbeat of a leader until its successor has claimed the term. */
    private static final long CLAIM_DELAY = 1_300;

    private static final long LOAD_DELAY = 200;

    /** Tasks of the lasting job; they need all three hosts. */
    private static final int TASKS = 20;

    /** Tasks for which two hosts have capacity. */
    private static final int TASKS_OF_TWO_HOSTS = 16;

    private static final HostEntry FIRST = WorkFixtures.host("first", WorkFixtures.BUSY, "rack-1");
    private static final HostEntry SECOND = WorkFixtures.host("second", WorkFixtures.BUSY, "rack-2");
    private static final HostEntry THIRD = WorkFixtures.host("third", WorkFixtures.BUSY, "rack-3");

    private final SuccessiveTerms terms = new SuccessiveTerms();

    /** Begins a first term in which all three hosts run tasks of a lasting job, announced at 1,000 ms. */
    private WorkScheduler beginFirstTerm() {
        terms.register(FIRST, SECOND, THIRD);
        terms.submit(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.longRunningStep(TASKS, 0)));
        terms.claim(0);
        WorkScheduler scheduler = terms.load(0);
        terms.announce(scheduler, 1);
        SuccessiveTerms.replyWithoutRuns(scheduler, 2, "first", "second", "third");
        terms.announce(scheduler, 3);
        scheduler.decide(at(4), true);
        terms.announce(scheduler, 5);
        List<WorkOrder.Start> starts = WorkFixtures.startsIn(scheduler.decide(at(6), true));
        assertEquals(
                3,
                starts.stream().map(start -> start.target().host()).distinct().count());
        WorkFixtures.confirmStarts(scheduler, starts, 10);
        for (String host : List.of("first", "second", "third")) {
            scheduler.createPoll(host, at(900), true);
        }
        terms.announce(scheduler, 1_000);
        return scheduler;
    }

    /** Returns the number of tasks that a term starts when only the given hosts reply, without runs. */
    private int countStarts(WorkScheduler scheduler, long now, String... replyingHosts) {
        SuccessiveTerms.replyWithoutRuns(scheduler, now, replyingHosts);
        terms.announce(scheduler, now + 1);
        return WorkFixtures.startsIn(scheduler.decide(at(now + 2), true)).size();
    }

    @Test
    void restartsLastingTaskPromptlyAlthoughMachineWentDownBeforeSuccession() {
        WorkScheduler first = beginFirstTerm();
        first.createMachineView().onHostDown("third", 1_100);
        terms.announce(first, 1_200);
        long lastRunEndedAt = 1_200;
        terms.claim(1_200 + CLAIM_DELAY);
        WorkScheduler successor = terms.load(1_200 + CLAIM_DELAY + LOAD_DELAY);
        assertEquals(
                TASKS_OF_TWO_HOSTS, countStarts(successor, lastRunEndedAt + LONGEST_STANDSTILL - 2, "first", "second"));
    }

    @Test
    void restartsLastingTaskPromptlyAlthoughUnregisteredMachineWentDownBeforeSuccession() {
        WorkScheduler first = beginFirstTerm();
        first.createMachineView().onHostDown("third", 1_100);
        terms.unregister("third");
        first.updateHosts(List.of(FIRST, SECOND), at(1_150));
        terms.announce(first, 1_200);
        terms.claim(1_200 + CLAIM_DELAY);
        WorkScheduler successor = terms.load(1_200 + CLAIM_DELAY + LOAD_DELAY);
        assertEquals(TASKS_OF_TWO_HOSTS, countStarts(successor, 1_200 + LONGEST_STANDSTILL - 2, "first", "second"));
    }

    @Test
    void restartsLastingTaskPromptlyOnceSuccessorLearnsThatMachineWentDown() {
        beginFirstTerm();
        terms.unregister("third");
        terms.claim(1_000 + CLAIM_DELAY);
        WorkScheduler successor = terms.load(1_000 + CLAIM_DELAY + LOAD_DELAY);
        successor.createMachineView().onHostDown("third", 2_500);
        assertEquals(TASKS_OF_TWO_HOSTS, countStarts(successor, 1_000 + LONGEST_STANDSTILL - 2, "first", "second"));
    }

    @Test
    void restartsLastingTaskPromptlyAlthoughHostNeverRepliedToEarlierTerm() {
        terms.register(WorkFixtures.host("cut-off", WorkFixtures.BUSY, "rack-4"));
        WorkScheduler first = beginFirstTerm();
        long now =
                1_000 + WorkHost.UNREACHABLE_AFTER_MILLISECONDS + WorkFixtures.TERMS.earlierLeaseExpiryMilliseconds();
        SuccessiveTerms.replyWithoutRuns(first, now, "first", "second", "third");
        terms.announce(first, now);
        terms.claim(now + CLAIM_DELAY);
        WorkScheduler successor = terms.load(now + CLAIM_DELAY + LOAD_DELAY);
        assertEquals(TASKS, countStarts(successor, now + LONGEST_STANDSTILL - 2, "first", "second", "third"));
    }

    @Test
    void successionsBeforeLoadingDoNotExtendWaitOfFirst() {
        beginFirstTerm();
        long now = 1_000;
        for (int succession = 0; succession < 4; succession++) {
            now += CLAIM_DELAY;
            terms.claim(now);
            now += 300;
            terms.repeatClaim(now);
        }
        WorkScheduler last = terms.load(now + LOAD_DELAY);
        assertEquals(TASKS_OF_TWO_HOSTS, countStarts(last, 1_000 + waitOfFirstSuccession(), "first", "second"));
    }

    @Test
    void successionsBeforeLoadingDoNotExtendWaitForHostWithoutClaim() {
        WorkScheduler first = beginFirstTerm();
        HostEntry joined = WorkFixtures.host("joined", WorkFixtures.BUSY, "rack-4");
        terms.register(joined);
        first.updateHosts(List.of(FIRST, SECOND, THIRD, joined), at(1_000));
        terms.announce(first, 1_000);
        long now = 1_000;
        for (int succession = 0; succession < 4; succession++) {
            now += CLAIM_DELAY;
            terms.claim(now);
        }
        WorkScheduler last = terms.load(now + LOAD_DELAY);
        assertEquals(TASKS, countStarts(last, 1_000 + waitOfFirstSuccession(), "first", "second", "third"));
    }

    @Test
    void successionsAfterLoadingDoNotExtendWaitForHostThatRepliedToNone() {
        beginFirstTerm();
        long now = 1_000;
        WorkScheduler scheduler = null;
        for (int succession = 0; succession < 4; succession++) {
            now += CLAIM_DELAY;
            terms.claim(now);
            now += LOAD_DELAY;
            scheduler = terms.load(now);
            SuccessiveTerms.replyWithoutRuns(scheduler, now, "first", "second");
            terms.announce(scheduler, now);
            assertEquals(List.of(), WorkFixtures.startsIn(scheduler.decide(at(now + 1), true)));
        }
        assertEquals(TASKS_OF_TWO_HOSTS, countStarts(scheduler, 1_000 + waitOfFirstSuccession(), "first", "second"));
    }

    @Test
    void restartsLastingTaskPromptlyAlthoughHostRepliedNeitherBeforeNorAfterResignation() {
        terms.register(WorkFixtures.host("cut-off", WorkFixtures.BUSY, "rack-4"));
        WorkScheduler first = beginFirstTerm();
        terms.resign(first, 1_100);
        terms.claim(1_200);
        WorkScheduler second = terms.load(1_300);
        SuccessiveTerms.replyWithoutRuns(second, 1_310, "first", "second", "third");
        terms.announce(second, 1_320);
        terms.claim(1_320 + CLAIM_DELAY);
        WorkScheduler third = terms.load(1_320 + CLAIM_DELAY + LOAD_DELAY);
        assertEquals(TASKS, countStarts(third, 1_320 + LONGEST_STANDSTILL - 2, "first", "second", "third"));
    }

    @Test
    void keepsServiceClosedUntilLeaseThatEarlierTermMayHaveRenewedHasExpired() {
        beginFirstTerm();
        terms.claim(1_000 + CLAIM_DELAY);
        WorkScheduler successor = terms.load(1_000 + CLAIM_DELAY + LOAD_DELAY);
        assertEquals(0, countStarts(successor, 1_000 + waitOfFirstSuccession() - 10, "first", "second"));
    }

    @Test
    void keepsServiceClosedThroughQuickSuccessionsUntilLeaseOfFirstTermHasExpired() {
        beginFirstTerm();
        for (long claimedAt = 1_000 + CLAIM_DELAY; claimedAt < 7_000; claimedAt += CLAIM_DELAY) {
            terms.claim(claimedAt);
        }
        terms.claim(7_000);
        WorkScheduler successor = terms.load(7_200);
        assertEquals(0, countStarts(successor, 1_000 + waitOfFirstSuccession() - 10, "first", "second"));
        assertTrue(successor
                .findBlockingHosts(at(1_000 + waitOfFirstSuccession() - 10))
                .contains("third"));
    }

    /** Returns the time from the last record of the first term until each of its leases has expired for certain. */
    private static long waitOfFirstSuccession() {
        return WorkFixtures.TERMS.earlierLeaseExpiryMilliseconds();
    }
}
