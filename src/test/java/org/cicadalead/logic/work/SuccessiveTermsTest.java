package org.cicadalead.logic.work;

import static org.cicadalead.logic.work.WorkFixtures.at;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.cicadalead.model.work.ActiveRun;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.StartOutcome;
import org.cicadalead.model.work.TaskKey;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Waits of lasting tasks over changes of the leader. All times are milliseconds of one monotonic clock. */
class SuccessiveTermsTest {
    /** Time after its last run within which the platform expects a lasting task to run again. */
    private static final long LONGEST_STANDSTILL = 6_000;

    /** Time from the last heartbeat of a leader until its successor has claimed the term. */
    private static final long CLAIM_DELAY = 1_300;

    private static final long LOAD_DELAY = 200;

    /** Changes of the leader within the time after its last record for which leases may last. */
    private static final int SUCCESSIONS = 3;

    /** Tasks of the lasting job; they need all three hosts. */
    private static final int TASKS = 20;

    /** Tasks for which two hosts have capacity. */
    private static final int TASKS_OF_TWO_HOSTS = 16;

    private static final HostEntry FIRST = WorkFixtures.host("first", WorkFixtures.BUSY, "rack-1");
    private static final HostEntry SECOND = WorkFixtures.host("second", WorkFixtures.BUSY, "rack-2");
    private static final HostEntry THIRD = WorkFixtures.host("third", WorkFixtures.BUSY, "rack-3");

    private final SuccessiveTerms terms = new SuccessiveTerms();

    /** Starts of the first term. */
    private List<WorkOrder.Start> starts = List.of();

    /** Begins a first term in which all three hosts run tasks of a lasting job, announced at 1,000 ms. */
    private WorkScheduler beginFirstTerm() {
        terms.register(FIRST, SECOND, THIRD);
        terms.submit(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.longRunningStep(TASKS, 0)));
        terms.claim(0);
        WorkScheduler scheduler = terms.load(0);
        terms.announce(scheduler, 1);
        SuccessiveTerms.replyWithoutRuns(scheduler, 2, "first", "second", "third");
        terms.announce(scheduler, 3);
        scheduler.decide(at(4), 0);
        terms.announce(scheduler, 5);
        starts = WorkFixtures.startsIn(scheduler.decide(at(6), 0));
        assertEquals(
                3,
                starts.stream().map(start -> start.target().host()).distinct().count());
        WorkFixtures.confirmStarts(scheduler, starts, 10);
        for (String host : List.of("first", "second", "third")) {
            scheduler.createPoll(host, at(900), 0);
        }
        terms.announce(scheduler, 1_000);
        return scheduler;
    }

    /** Returns the number of tasks that a term starts when only the given hosts reply, without runs. */
    private int countStarts(WorkScheduler scheduler, long now, String... replyingHosts) {
        SuccessiveTerms.replyWithoutRuns(scheduler, now, replyingHosts);
        terms.announce(scheduler, now + 1);
        return WorkFixtures.startsIn(scheduler.decide(at(now + 2), 0)).size();
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
        for (int succession = 0; succession < SUCCESSIONS; succession++) {
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
        for (int succession = 0; succession < SUCCESSIONS; succession++) {
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
        for (int succession = 0; succession < SUCCESSIONS; succession++) {
            now += CLAIM_DELAY;
            terms.claim(now);
            now += LOAD_DELAY;
            scheduler = terms.load(now);
            SuccessiveTerms.replyWithoutRuns(scheduler, now, "first", "second");
            terms.announce(scheduler, now);
            assertEquals(List.of(), WorkFixtures.startsIn(scheduler.decide(at(now + 1), 0)));
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

    /** Lets a term renew leases on hosts and announce itself each 300 ms, until its leader is lost. */
    private void schedule(WorkScheduler scheduler, long from, long until, String... replyingHosts) {
        for (long now = from; now < until; now += 300) {
            for (String host : replyingHosts) {
                scheduler.createPoll(host, at(now), 0);
                WorkFixtures.replyToPoll(scheduler, host, now + 10, activeRuns(starts, host), List.of());
            }
            scheduler.createPoll("third", at(now), 0);
            terms.announce(scheduler, now + 20);
        }
        terms.announce(scheduler, until);
    }

    private static List<ActiveRun> activeRuns(List<WorkOrder.Start> starts, String host) {
        return starts.stream()
                .filter(start -> start.target().host().equals(host))
                .map(start -> new ActiveRun(start.run(), "", WorkRun.FULL_SPEED_PERCENT, 0))
                .toList();
    }

    /** Returns when a lasting task must run again: 9 s after its last run, once 7 s were calm. */
    private static long dueAt(long lastRunEndedAt, long lastDisruptionEndedAt) {
        return Math.max(lastRunEndedAt + 9_000, lastDisruptionEndedAt + 7_000);
    }

    /** The third host is lost for good at 1,000 ms, and no evidence of that comes, as its machine stays down. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, 1_100, 2_000, 3_400, 3_600, 5_000, 6_500, 8_000})
    void restartsLastingTaskInTimeAlthoughItsHostIsLostWithTheLeaderOrBefore(long leaderLostAt) {
        WorkScheduler first = beginFirstTerm();
        WorkFixtures.replyToPoll(first, "third", 1_000, activeRuns(starts, "third"), List.of());
        schedule(first, 1_010, leaderLostAt, "first", "second");
        terms.claim(leaderLostAt + CLAIM_DELAY);
        WorkScheduler successor = terms.load(leaderLostAt + CLAIM_DELAY + LOAD_DELAY);
        long dueAt = dueAt(1_000, leaderLostAt);
        assertEquals(TASKS_OF_TWO_HOSTS, countStarts(successor, dueAt - 200, "first", "second"));
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3, 5})
    void restartsLastingTaskInTimeAlthoughItsHostIsLostAndLeadersFollowEachOther(int successions) {
        WorkScheduler leader = beginFirstTerm();
        long now = 1_000;
        for (int succession = 1; succession < successions; succession++) {
            terms.claim(now + CLAIM_DELAY);
            leader = terms.load(now + CLAIM_DELAY + LOAD_DELAY);
            SuccessiveTerms.replyWithoutRuns(leader, now + 1_600, "first", "second");
            terms.announce(leader, now + 1_610);
            leader.decide(at(now + 1_700), 0);
            terms.announce(leader, now + 1_900);
            now += 1_900;
        }
        terms.claim(now + CLAIM_DELAY);
        WorkScheduler last = terms.load(now + CLAIM_DELAY + LOAD_DELAY);
        assertEquals(TASKS_OF_TWO_HOSTS, countStarts(last, dueAt(1_000, now) - 200, "first", "second"));
    }

    @Test
    void restartsLastingTaskInTimeAlthoughItWasOrderedOnAHostThatWasLostBefore() {
        WorkScheduler scheduler = WorkFixtures.scheduler(FIRST, SECOND);
        SuccessiveTerms.replyWithoutRuns(scheduler, 1_000, "first", "second");
        SuccessiveTerms.replyWithoutRuns(scheduler, 3_400, "first");
        scheduler.addJob(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.longRunningStep(4, 0)), at(3_400));
        starts = WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(3_400), 0));
        Set<TaskKey> lost = activeRuns(starts, "second").stream()
                .map(active -> active.run().task())
                .collect(Collectors.toSet());
        assertFalse(lost.isEmpty());
        activeRuns(starts, "second")
                .forEach(run -> scheduler.onStartReply("second", run.run(), StartOutcome.UNKNOWN, at(4_000)));
        long releasedAt = 1_000 + LONGEST_STANDSTILL + 100;
        WorkFixtures.replyToPoll(scheduler, "first", releasedAt, activeRuns(starts, "first"), List.of());
        assertEquals(
                lost,
                WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(releasedAt + 1), 0)).stream()
                        .map(start -> start.run().task())
                        .collect(Collectors.toSet()));
    }

    /** A later term, of which the leader has not read yet, may have reached the host and renewed the lease. */
    @Test
    void startsNothingForAnExpiredLeaseThatALaterTermMayHaveRenewed() {
        beginFirstTerm();
        terms.claim(1_000 + CLAIM_DELAY);
        WorkScheduler successor = terms.load(1_000 + CLAIM_DELAY + LOAD_DELAY);
        long expiredAt = 1_000 + waitOfFirstSuccession();
        SuccessiveTerms.replyWithoutRuns(successor, expiredAt + 10, "first", "second");
        terms.announce(successor, expiredAt + 11);
        assertEquals(List.of(), WorkFixtures.startsIn(successor.decide(at(expiredAt + 100), 101)));
        assertEquals(
                TASKS_OF_TWO_HOSTS,
                WorkFixtures.startsIn(successor.decide(at(expiredAt + 101), 90)).size());
    }

    @Test
    void keepsRunsOfSilentHostWhoseLeaseALaterTermMayHaveRenewed() {
        WorkScheduler leader = beginFirstTerm();
        long expiredAt = 11 + waitOfFirstSuccession();
        WorkFixtures.replyToPoll(leader, "first", expiredAt, activeRuns(starts, "first"), List.of());
        WorkFixtures.replyToPoll(leader, "second", expiredAt, activeRuns(starts, "second"), List.of());
        terms.announce(leader, expiredAt);
        leader.decide(at(expiredAt + 10), 2_000);
        assertFalse(leader.createPoll("third", at(expiredAt + 11), 2_000).isEmpty());
        assertEquals(
                leader.createMachineView().countLongRunning("third"),
                activeRuns(starts, "third").size());
        leader.decide(at(expiredAt + 12), 0);
        assertEquals(0, leader.createMachineView().countLongRunning("third"));
    }

    /** Returns the time from the last record of the first term until each of its leases has expired for certain. */
    private static long waitOfFirstSuccession() {
        return WorkFixtures.TERMS.earlierLeaseExpiryMilliseconds();
    }
}
