package org.cicadalead.adapters.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.ByteArrayOutputStream;
import java.lang.reflect.Proxy;
import java.net.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.cicadalead.adapters.work.JobRequestService.StoreOutcome;
import org.cicadalead.logic.work.EarlierTerm;
import org.cicadalead.logic.work.HostsInUse;
import org.cicadalead.logic.work.JobAdmission;
import org.cicadalead.logic.work.SchedulingTerms;
import org.cicadalead.model.work.JobAccess;
import org.cicadalead.model.work.QueueTerms;
import org.cicadalead.model.work.StepSpecification;
import org.cicadalead.model.work.WorkSubmission;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.ports.RecordStore.AppendOutcome;
import org.cicadalead.ports.RecordStore.AppendResult;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.Topic;
import org.cicadalead.support.InMemoryRecordStore;
import org.cicadalead.support.InMemoryRecordStore.Fault;
import org.cicadalead.support.ManualTimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests outages of the store, or of one of its topics, in a process that is not the leader. */
class JobRequestServiceTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    private final InMemoryRecordStore backingStore = new InMemoryRecordStore();
    private final ManualTimerService timers = new ManualTimerService();
    private final RequestTimeLimits timeLimits = new RequestTimeLimits(timers);
    private final Set<Topic> silentTopics = EnumSet.noneOf(Topic.class);
    private final List<CompletableFuture<AppendResult>> silentAppends = new ArrayList<>();
    private final MonitoredStore store =
            new MonitoredStore(createStoreView(), timers, new WorkMetrics(new SimpleMeterRegistry()));
    private final WorkCodec codec = new WorkCodec(problem -> {});
    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private final DecisionLog log = new DecisionLog(logOutput, "process", new WorkMetrics(new SimpleMeterRegistry()));
    private final SchedulingService scheduling = new SchedulingService(
            SchedulingTermTest.createPorts(store), new SchedulingTerms(5_700, 6_000, 2_500, 6_000, 200, 2, 1));
    private final JobRequestService service = new JobRequestService(
            store,
            timers,
            timeLimits,
            codec,
            scheduling,
            new PeerClient(HttpClient.newHttpClient(), codec, "own:1", timers),
            new LeaderElection(
                    store,
                    codec,
                    timers,
                    log,
                    new LeaderElection.Candidate("process", "own:1", 0, 0),
                    new NoOpListener()),
            log);

    @AfterEach
    void closeServices() {
        scheduling.close();
        log.close();
    }

    /** Returns the store, whose appends to silent topics get no response until the test gives one. */
    private RecordStore createStoreView() {
        return (RecordStore) Proxy.newProxyInstance(
                RecordStore.class.getClassLoader(), new Class<?>[] {RecordStore.class}, (proxy, method, arguments) -> {
                    if (method.getName().equals("append") && silentTopics.contains(arguments[0])) {
                        CompletableFuture<AppendResult> append = new CompletableFuture<>();
                        silentAppends.add(append);
                        return append;
                    }
                    return method.invoke(backingStore, arguments);
                });
    }

    private StoreOutcome submit(String job) {
        CompletableFuture<StoreOutcome> outcome = startSubmission(job);
        assertTrue(outcome.isDone(), "the outcome is reported without delay");
        return outcome.join();
    }

    private CompletableFuture<StoreOutcome> startSubmission(String job) {
        return startSubmission(job, List.of());
    }

    private CompletableFuture<StoreOutcome> startSubmission(String job, List<StepSpecification> steps) {
        WorkSubmission submission = new WorkSubmission(
                job, "queue", "service", new QueueTerms(0, 3, 1.6, 600, Optional.empty()), "run", steps, 0, 0, 0, 0);
        return service.submit(submission, TIMEOUT);
    }

    private int countStored(Topic topic) {
        return backingStore.snapshot(topic).join().records().size();
    }

    /** A process at the end of its drain said that a job never runs which its store might still have accepted. */
    @Test
    void doesNotRejectJobAtEndOfDrainThatAnEarlierAttemptMayStore() {
        silentTopics.addAll(JobsFeed.TOPICS);
        CompletableFuture<StoreOutcome> waiting = startSubmission("waiting");
        assertFalse(waiting.isDone());
        timeLimits.expireAll();
        assertEquals(StoreOutcome.UNCERTAIN, waiting.join());
        assertEquals(StoreOutcome.UNCERTAIN, submit("waiting"));
        assertEquals(StoreOutcome.REFUSED, submit("other"));
    }

    @Test
    void storesJobInSpareTopicWhileFirstTopicIsUnreachable() {
        backingStore.makeUnavailable(Topic.JOBS);
        assertEquals(StoreOutcome.STORED, submit("first"));
        assertEquals(StoreOutcome.STORED, submit("second"));
        assertEquals(StoreOutcome.STORED, submit("third"), "the unreachable topic is not tried any more");
        assertEquals(3, countStored(Topic.SPARE_JOBS));
        assertTrue(service.canStore());
    }

    /** Guards against jobs that are accepted and end every leader together. */
    @Test
    void rejectsJobsBeyondBudgetOfMemoryBeforeStoringThem() {
        StepSpecification step = new StepSpecification(
                10_000,
                1_000,
                1_000,
                0,
                1_000,
                List.of(),
                false,
                false,
                false,
                Optional.empty(),
                Optional.empty(),
                0,
                false,
                false,
                Optional.empty(),
                0,
                false,
                0);
        List<StoreOutcome> outcomes = new ArrayList<>();
        for (int number = 0; number < 100; number++) {
            outcomes.add(startSubmission("large-" + number, List.of(step)).join());
        }
        assertEquals(StoreOutcome.STORED, outcomes.get(0));
        assertEquals(StoreOutcome.REFUSED, outcomes.get(99));
        assertEquals(
                outcomes.stream()
                        .filter(outcome -> outcome == StoreOutcome.STORED)
                        .count(),
                countStored(Topic.JOBS) + countStored(Topic.SPARE_JOBS));
        assertTrue(service.estimateOpenJobsBytes() <= JobAdmission.BUDGET_BYTES);
        assertEquals(StoreOutcome.STORED, submit("small"), "a small job fits into what is left");
    }

    @Test
    void rejectsJobImmediatelyWhenStoreRefuses() {
        backingStore.failNext(Fault.REFUSED, 2);
        assertEquals(StoreOutcome.REFUSED, submit("first"));
        assertEquals(0, countStored(Topic.JOBS) + countStored(Topic.SPARE_JOBS));
    }

    @Test
    void rejectsJobWithoutAttemptWhenStoreIsUnavailable() {
        backingStore.makeUnavailable(Topic.JOBS);
        backingStore.makeUnavailable(Topic.SPARE_JOBS);
        CompletableFuture<StoreOutcome> first = startSubmission("first");
        assertFalse(first.isDone(), "an attempt was made and may take effect later");
        startSubmission("second");
        assertEquals(StoreOutcome.REFUSED, submit("third"));
        assertFalse(service.canStore());
        timers.advance(TIMEOUT);
        assertEquals(StoreOutcome.UNCERTAIN, first.getNow(StoreOutcome.REFUSED));
    }

    @Test
    void reportsUnknownOutcomeForJobThatMayBeStored() {
        backingStore.failNext(Fault.REPLY_LOST, 2);
        CompletableFuture<StoreOutcome> first = startSubmission("first");
        timers.advance(Duration.ofMillis(10));
        CompletableFuture<StoreOutcome> repeated = startSubmission("first");
        backingStore.failNext(Fault.REFUSED, 100);
        timers.advance(TIMEOUT);
        assertEquals(StoreOutcome.UNCERTAIN, first.getNow(StoreOutcome.REFUSED));
        assertEquals(
                StoreOutcome.UNCERTAIN,
                repeated.getNow(StoreOutcome.REFUSED),
                "what was sent for the first request may have been stored");
        backingStore.failNext(Fault.NONE, 0);
        timers.advance(TIMEOUT);
        assertEquals(StoreOutcome.STORED, submit("first"));
    }

    /** The store stops to respond while callers submit jobs; its timeouts alone take most of a caller's time. */
    @Test
    void storesJobInSpareTopicWhenFirstTopicDoesNotRespond() {
        silentTopics.add(Topic.JOBS);
        CompletableFuture<StoreOutcome> outcome = startSubmission("first");
        assertFalse(outcome.isDone());
        timers.advance(Duration.ofMillis(300));
        assertEquals(StoreOutcome.STORED, outcome.getNow(StoreOutcome.UNCERTAIN));
        assertEquals(1, countStored(Topic.SPARE_JOBS));
    }

    @Test
    void rejectsNoJobWhileAnAttemptMayTakeEffect() {
        silentTopics.add(Topic.JOBS);
        backingStore.failNext(Fault.REFUSED, 100);
        CompletableFuture<StoreOutcome> outcome = startSubmission("first");
        timers.advance(Duration.ofMillis(300));
        assertFalse(outcome.isDone(), "the append to the first topic may still be carried out");
        silentAppends.get(0).complete(new AppendResult(AppendOutcome.UNKNOWN, -1));
        silentTopics.clear();
        assertFalse(outcome.isDone(), "the append to the first topic may still be carried out");
        timers.advance(Duration.ofSeconds(1));
        assertEquals(StoreOutcome.UNCERTAIN, outcome.getNow(StoreOutcome.REFUSED));
    }

    @Test
    void rejectsJobWhenEveryAttemptWasRefusedInTheEnd() {
        silentTopics.add(Topic.JOBS);
        backingStore.failNext(Fault.REFUSED, 1);
        CompletableFuture<StoreOutcome> outcome = startSubmission("first");
        timers.advance(Duration.ofMillis(300));
        silentAppends.get(0).complete(new AppendResult(AppendOutcome.REFUSED, -1));
        assertEquals(StoreOutcome.REFUSED, outcome.getNow(StoreOutcome.UNCERTAIN));
    }

    /** The leader stored it in a store that refused or reset every call, and each such job's outcome was unknown. */
    @Test
    void tellsPeerThatNothingWasSentWhileStoreIsUnavailable() {
        List<KeyedRecord> records = List.of(KeyedRecord.of("s/first", new byte[] {1}));
        backingStore.makeUnavailable(Topic.JOBS);
        backingStore.makeUnavailable(Topic.SPARE_JOBS);
        call(Topic.JOBS);
        call(Topic.SPARE_JOBS);
        assertEquals(AppendOutcome.REFUSED, service.storeForPeer(records).getNow(AppendOutcome.UNKNOWN));
    }

    @Test
    void storesRecordsOfPeerInSpareTopicWhenFirstTopicDoesNotRespond() {
        silentTopics.add(Topic.JOBS);
        CompletableFuture<AppendOutcome> outcome =
                service.storeForPeer(List.of(KeyedRecord.of("s/first", new byte[] {1})));
        timers.advance(Duration.ofMillis(300));
        assertEquals(AppendOutcome.STORED, outcome.getNow(AppendOutcome.UNKNOWN));
    }

    /** A store whose answers are lost: the caller waited for nothing, although its job could be stored in time. */
    @Test
    void storesJobOfUnknownOutcomeWhenStoreAnswersAgainInTime() {
        backingStore.failNext(Fault.REPLY_LOST, 2);
        CompletableFuture<StoreOutcome> outcome = startSubmission("first");
        assertFalse(outcome.isDone(), "another attempt may still learn the outcome");
        store.snapshot(Topic.LEADER);
        timers.advance(Duration.ofMillis(500));
        assertEquals(StoreOutcome.STORED, outcome.getNow(StoreOutcome.UNCERTAIN));
    }

    /** A store that is down for some seconds: its topics were shunned for 2.5 s after it answered again. */
    @Test
    void storesJobsAsSoonAsStoreAnswersAfterAnOutage() {
        call(Topic.LEADER);
        backingStore.failNext(Fault.REQUEST_LOST, 4);
        call(Topic.LEADER);
        call(Topic.JOBS);
        call(Topic.SPARE_JOBS);
        call(Topic.LEADER);
        assertFalse(service.canStore());
        store.snapshot(Topic.LEADER);
        assertTrue(service.canStore());
        assertEquals(StoreOutcome.STORED, submit("first"));
    }

    /** Jobs that waited for an append without a response were sent into the same outage, and their outcome was lost. */
    @Test
    void rejectsJobThatWasNeverSentWhileAnotherAppendGotNoResponse() {
        silentTopics.add(Topic.JOBS);
        silentTopics.add(Topic.SPARE_JOBS);
        CompletableFuture<StoreOutcome> sent = startSubmission("first");
        timers.advance(Duration.ofMillis(300));
        CompletableFuture<StoreOutcome> waiting = startSubmission("second");
        timers.advance(Duration.ofMillis(600));
        silentAppends.get(0).complete(new AppendResult(AppendOutcome.UNKNOWN, -1));
        silentAppends.get(1).complete(new AppendResult(AppendOutcome.UNKNOWN, -1));
        assertEquals(2, silentAppends.size(), "nothing is sent after an append without a response");
        assertEquals(StoreOutcome.REFUSED, waiting.getNow(StoreOutcome.UNCERTAIN));
        timers.advance(TIMEOUT);
        assertEquals(StoreOutcome.UNCERTAIN, sent.getNow(StoreOutcome.REFUSED));
    }

    @Test
    void rejectsJobThatWasNeverSentUntilItsCallerStopsWaiting() {
        silentTopics.add(Topic.JOBS);
        silentTopics.add(Topic.SPARE_JOBS);
        CompletableFuture<StoreOutcome> sent = startSubmission("first");
        timers.advance(Duration.ofMillis(300));
        CompletableFuture<StoreOutcome> waiting = startSubmission("second");
        timers.advance(TIMEOUT);
        assertEquals(StoreOutcome.UNCERTAIN, sent.getNow(StoreOutcome.REFUSED));
        assertEquals(StoreOutcome.REFUSED, waiting.getNow(StoreOutcome.UNCERTAIN));
        silentTopics.clear();
        silentAppends.forEach(append -> append.complete(new AppendResult(AppendOutcome.STORED, 1)));
        assertEquals(0, countStored(Topic.JOBS) + countStored(Topic.SPARE_JOBS), "a rejected job is stored never");
    }

    /** A refused second attempt said that the job had not been stored, while the first one could still be. */
    @Test
    void refusesNoJobWhoseEarlierAttemptGotNoResponse() {
        silentTopics.add(Topic.JOBS);
        CompletableFuture<StoreOutcome> outcome = startSubmission("first");
        timers.advance(Duration.ofMillis(100));
        silentAppends.get(0).complete(new AppendResult(AppendOutcome.UNKNOWN, -1));
        assertEquals(StoreOutcome.STORED, outcome.getNow(StoreOutcome.UNCERTAIN), "stored in the other topic");
        silentTopics.add(Topic.SPARE_JOBS);
        CompletableFuture<StoreOutcome> second = startSubmission("second");
        silentAppends.get(1).complete(new AppendResult(AppendOutcome.UNKNOWN, -1));
        silentTopics.clear();
        backingStore.failNext(Fault.REFUSED, 100);
        timers.advance(TIMEOUT);
        assertEquals(StoreOutcome.UNCERTAIN, second.getNow(StoreOutcome.REFUSED));
    }

    /** A caller that is told of an unknown outcome in time repeats its request where there is a way to the store. */
    @Test
    void tellsUnknownOutcomeWhileItsCallerCanStillTryAnotherProcess() {
        backingStore.failNext(Fault.REPLY_LOST, 100);
        CompletableFuture<StoreOutcome> outcome = startSubmission("first");
        timers.advance(TIMEOUT.dividedBy(2));
        assertEquals(StoreOutcome.UNCERTAIN, outcome.getNow(StoreOutcome.REFUSED));
    }

    /** A query that got no answer left a line that did not tell whether it had waited, and for whom. */
    @Test
    void logsHowLongQueriesWaitedForLeaderThatIsNotKnown() {
        CompletableFuture<JobRequestService.JobAnswer> job =
                service.findPhase("first", JobAccess.UNRESTRICTED, TIMEOUT);
        CompletableFuture<Optional<Integer>> count = service.waitingCount("queue", Duration.ofMillis(500));
        timers.advance(TIMEOUT);
        assertFalse(job.join().known());
        assertEquals(Optional.empty(), count.join());
        log.close();
        String lines = logOutput.toString(StandardCharsets.UTF_8);
        assertTrue(
                lines.contains("\"kind\":\"QUEUE_ASKED\",\"process\":\"process\",\"queue\":\"queue\","
                        + "\"answered\":\"false\",\"waitedMilliseconds\":\"400\",\"repeats\":\"2\","
                        + "\"leaderEpoch\":\"none\""),
                lines);
        assertTrue(
                lines.contains("\"answered\":\"false\",\"waitedMilliseconds\":\"1800\",\"repeats\":\"9\","
                        + "\"leaderEpoch\":\"none\""),
                lines);
    }

    private void call(Topic topic) {
        store.append(topic, List.of(KeyedRecord.of("key", new byte[] {1})), OptionalLong.empty());
    }

    private static final class NoOpListener implements LeaderElection.Listener {
        @Override
        public void onElected(long epoch, Optional<EarlierTerm> earlierTerm) {}

        @Override
        public void onTermEnded() {}

        @Override
        public Optional<HostsInUse> hostsInUse(long epoch) {
            return Optional.empty();
        }

        @Override
        public void onAnnouncementStored(HostsInUse hostsInUse) {}

        @Override
        public Optional<HostsInUse> resign() {
            return Optional.empty();
        }
    }
}
