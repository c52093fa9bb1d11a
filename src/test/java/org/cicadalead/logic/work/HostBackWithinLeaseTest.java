package org.cicadalead.logic.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import org.cicadalead.model.work.HostCapacity;
import org.cicadalead.model.work.HostListing;
import org.cicadalead.model.work.RunKey;
import org.cicadalead.model.work.StartOutcome;
import org.cicadalead.model.work.TaskKey;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against tasks that are started again although their host, which was cut off, is back within the longest lease
 * of the platform (incident 0013). Plays all phases of the cut against the polls of the idle host and the records of
 * the leader, in virtual time.
 */
class HostBackWithinLeaseTest {
    private static final long SUBMITTED_AT = 5_000;
    private static final long PHASES_MILLISECONDS = 1_500;
    private static final long TASK_MILLISECONDS = 2_500;
    private static final int TASKS = 6;

    @ParameterizedTest
    @ValueSource(longs = {500, 1_500, 2_500, 3_500, 4_500, 5_400, 5_500})
    void startsNoTaskAgainOfHostThatWasCutOffWithinItsLease(long cutMilliseconds) {
        List<String> startedAgain = new ArrayList<>();
        for (long submission = 0; submission < PHASES_MILLISECONDS; submission += 70) {
            for (long cutAfter = 400; cutAfter <= 1_600; cutAfter += 150) {
                for (long record = 0; record < Play.HEARTBEAT_MILLISECONDS; record += 75) {
                    Play play = new Play(record, SUBMITTED_AT + submission, cutAfter, cutMilliseconds);
                    play.runUntil(SUBMITTED_AT + submission + cutAfter + cutMilliseconds + 3_000);
                    if (play.starts.values().stream().anyMatch(starts -> starts > 1)) {
                        startedAgain.add("submitted " + submission + " ms, cut " + cutAfter + " ms later, record phase "
                                + record + ": " + play.starts);
                    }
                    assertEquals(TASKS, play.starts.size());
                }
            }
        }
        assertEquals(List.of(), startedAgain);
    }

    /** The wait for a host that may be back costs a task of a lost host less than half a second. */
    @Test
    void startsTaskOfLostHostAgainSoonAfterItsLongestLease() {
        for (long cutAfter = 800; cutAfter <= 1_800; cutAfter += 50) {
            Play play = new Play(0, SUBMITTED_AT, cutAfter, 60_000);
            long lostAt = SUBMITTED_AT + cutAfter;
            play.runUntil(lostAt + WorkFixtures.TERMS.maximumLeaseMilliseconds() + WorkHost.SILENT_POLL_MILLISECONDS);
            assertTrue(play.tasksOfCutHost > 0);
            assertEquals(
                    TASKS + play.tasksOfCutHost,
                    play.starts.values().stream().mapToInt(starts -> starts).sum(),
                    "cut " + cutAfter);
        }
    }

    /** Guards against a host that is back and goes unheard while its lease runs out. */
    @Test
    void hearsHostWithRunsSoonAfterItIsBack() {
        for (long cutMilliseconds = 3_000; cutMilliseconds < 3_600; cutMilliseconds += 25) {
            Play play = new Play(0, SUBMITTED_AT, 800, cutMilliseconds);
            long backAt = SUBMITTED_AT + 800 + cutMilliseconds;
            play.runUntil(backAt + 1_000);
            long heardAfter = play.heardAt - backAt;
            assertTrue(heardAfter <= 300 + 2 * Play.DELAY_MILLISECONDS, () -> "heard after " + heardAfter + " ms");
        }
    }

    /** One silent host with runs is polled no more often than one with runs that replies. */
    @Test
    void pollsSilentHostNoMoreOftenThanOneThatReplies() {
        Play replying = new Play(0, SUBMITTED_AT, 60_000, 1);
        replying.runUntil(SUBMITTED_AT + 500);
        long before = replying.polls;
        replying.runUntil(SUBMITTED_AT + 2_300);
        Play silent = new Play(0, SUBMITTED_AT, 600, 60_000);
        silent.runUntil(SUBMITTED_AT + 1_500);
        long silentBefore = silent.polls;
        silent.runUntil(SUBMITTED_AT + 3_300);
        long more = silent.polls - silentBefore - (replying.polls - before);
        assertTrue(more <= 0, () -> more + " polls more");
    }

    /** A leader with one host of work, polled as HostPoller does, and a second host for what is started again. */
    private static final class Play {
        static final long HEARTBEAT_MILLISECONDS = 300;
        private static final long DELAY_MILLISECONDS = 2;
        private static final long APPEND_MILLISECONDS = 12;
        private static final long POLL_MARGIN_MILLISECONDS = 350;
        private static final long FAILURE_PAUSE_MILLISECONDS = 200;
        private static final long CYCLE_MILLISECONDS = 20;

        final Map<TaskKey, Integer> starts = new HashMap<>();
        int tasksOfCutHost;
        long polls;

        /** Time of the first list of the host that was cut off after that. */
        long heardAt = Long.MAX_VALUE;

        private final PriorityQueue<Event> events = new PriorityQueue<>();
        private final WorkScheduler scheduler = new WorkScheduler(WorkFixtures.TERMS, 1, EarlierHosts.NONE, 0);
        private final Map<String, SimulatedHost> hosts = new HashMap<>();
        private final Map<String, Long> newestPolls = new HashMap<>();
        private final Map<String, Long> newestReplies = new HashMap<>();
        private final long cutFrom;
        private final long cutUntil;
        private String cutHost = "";
        private long now;
        private long confirmedAt;
        private long sequence;

        Play(long recordPhase, long submittedAt, long cutAfter, long cutMilliseconds) {
            cutFrom = submittedAt + cutAfter;
            cutUntil = cutFrom + cutMilliseconds;
            for (String name : List.of("first", "second")) {
                hosts.put(
                        name,
                        new SimulatedHost(
                                name,
                                WorkFixtures.BUSY,
                                name + ":1",
                                "zone",
                                name,
                                new HostCapacity(8_000, 16_000, 0),
                                -1_000));
            }
            scheduler.updateHosts(
                    hosts.values().stream().map(SimulatedHost::entry).toList(), time());
            hosts.keySet().forEach(this::poll);
            after(recordPhase, this::sendRecord);
            after(CYCLE_MILLISECONDS, this::runCycle);
            after(
                    submittedAt,
                    () -> scheduler.addJob(
                            WorkFixtures.job(
                                    "job", WorkFixtures.BUSY, now, WorkFixtures.step(TASKS, 1_000, TASK_MILLISECONDS)),
                            time()));
        }

        void runUntil(long end) {
            while (!events.isEmpty() && events.peek().at() <= end) {
                Event event = events.remove();
                now = event.at();
                hosts.values().forEach(host -> host.advance(now));
                event.action().run();
            }
        }

        private WorkTime time() {
            return WorkFixtures.at(now);
        }

        private void after(long delay, Runnable action) {
            events.add(new Event(now + delay, sequence++, action));
        }

        private boolean isCutOff(String host) {
            return host.equals(cutHost) && now >= cutFrom && now < cutUntil;
        }

        private void sendRecord() {
            long sentAt = now;
            HostsInUse announcement = scheduler.announceHostsInUse(time());
            after(APPEND_MILLISECONDS, () -> {
                confirmedAt = sentAt;
                scheduler.onAnnouncementStored(announcement.generation());
                boolean isAwaited = scheduler.hasPendingStartIntents();
                after(isAwaited ? 1 : Math.max(1, sentAt + HEARTBEAT_MILLISECONDS - now), this::sendRecord);
            });
        }

        private void runCycle() {
            for (WorkOrder order : scheduler.decide(time(), now - confirmedAt)) {
                if (order instanceof WorkOrder.Start start) {
                    cutHost = cutHost.isEmpty() ? start.target().host() : cutHost;
                    start(start);
                } else if (order instanceof WorkOrder.Persist persist) {
                    after(APPEND_MILLISECONDS, () -> scheduler.onBatchResult(persist.batch(), true));
                }
            }
            after(CYCLE_MILLISECONDS, this::runCycle);
        }

        private void start(WorkOrder.Start start) {
            String name = start.target().host();
            long sentAt = now;
            RunKey run = start.run();
            after(DELAY_MILLISECONDS, () -> {
                if (isCutOff(name)) {
                    after(
                            POLL_MARGIN_MILLISECONDS,
                            () -> scheduler.onStartReply(name, run, StartOutcome.UNKNOWN, time()));
                    return;
                }
                StartOutcome outcome = hosts.get(name).start(start, 1, TASK_MILLISECONDS, now);
                if (outcome == StartOutcome.STARTED) {
                    starts.merge(start.run().task(), 1, Integer::sum);
                    tasksOfCutHost += name.equals(cutHost) ? 1 : 0;
                }
                long clock = hosts.get(name).clock(now);
                after(DELAY_MILLISECONDS, () -> {
                    scheduler.onClockRead(name, clock, sentAt, time());
                    scheduler.onStartReply(name, run, outcome, time());
                    if (scheduler.isPollDue(name)) {
                        poll(name);
                    }
                });
            });
        }

        private void poll(String name) {
            Optional<HostPollRequest> request = scheduler.createPoll(name, time(), now - confirmedAt);
            polls += name.equals(cutHost) ? 1 : 0;
            long number = ++sequence;
            newestPolls.put(name, number);
            long sentAt = now;
            request.orElseThrow()
                    .repeatAfterMilliseconds()
                    .ifPresent(delay -> after(delay, () -> pollIfNewest(name, number)));
            after(DELAY_MILLISECONDS, () -> receive(name, number, sentAt, request.orElseThrow(), now));
        }

        /**
         * Handles a poll on the host, which renews the lease at once and replies when a run has ended or its wait has.
         */
        private void receive(String name, long number, long sentAt, HostPollRequest request, long receivedAt) {
            SimulatedHost host = hosts.get(name);
            if (isCutOff(name) && receivedAt == now) {
                after(request.waitMilliseconds() + POLL_MARGIN_MILLISECONDS, () -> onNoReply(name, number, sentAt));
                return;
            }
            HostListing listing = host.poll(request, 1, now);
            if (listing.ended().isEmpty() && now - receivedAt < request.waitMilliseconds()) {
                HostPollRequest waiting = new HostPollRequest(
                        request.target(),
                        OptionalLong.empty(),
                        request.acknowledged(),
                        request.waitMilliseconds(),
                        request.repeatAfterMilliseconds());
                after(5, () -> receive(name, number, sentAt, waiting, receivedAt));
            } else if (isCutOff(name)) {
                long timeout = sentAt + request.waitMilliseconds() + POLL_MARGIN_MILLISECONDS - now;
                after(Math.max(1, timeout), () -> onNoReply(name, number, sentAt));
            } else {
                after(DELAY_MILLISECONDS, () -> {
                    scheduler.onPollEnded(name, sentAt);
                    if (number >= newestReplies.getOrDefault(name, 0L)) {
                        newestReplies.put(name, number);
                        heardAt = name.equals(cutHost) && now >= cutUntil ? Math.min(heardAt, now) : heardAt;
                        scheduler.onHostListing(name, request.target().address(), listing, sentAt, time());
                    }
                    after(listing.ended().isEmpty() ? 1 : 40, () -> pollIfNewest(name, number));
                });
            }
        }

        private void onNoReply(String name, long number, long sentAt) {
            scheduler.onPollEnded(name, sentAt);
            if (number >= newestReplies.getOrDefault(name, 0L)) {
                scheduler.onPollFailed(name);
            }
            after(FAILURE_PAUSE_MILLISECONDS, () -> pollIfNewest(name, number));
        }

        private void pollIfNewest(String name, long number) {
            if (newestPolls.get(name) == number) {
                poll(name);
            }
        }

        private record Event(long at, long sequence, Runnable action) implements Comparable<Event> {
            @Override
            public int compareTo(Event other) {
                return at == other.at ? Long.compare(sequence, other.sequence) : Long.compare(at, other.at);
            }
        }
    }
}
