package org.cicadalead.adapters.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.OutputStream;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cicadalead.adapters.work.JobRequestService.StoreOutcome;
import org.cicadalead.logic.work.EarlierTerm;
import org.cicadalead.logic.work.HostsInUse;
import org.cicadalead.logic.work.SchedulingTerms;
import org.cicadalead.model.work.QueueTerms;
import org.cicadalead.model.work.WorkSubmission;
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
    private final MonitoredStore store =
            new MonitoredStore(backingStore, timers, new WorkMetrics(new SimpleMeterRegistry()));
    private final WorkCodec codec = new WorkCodec(problem -> {});
    private final DecisionLog log =
            new DecisionLog(OutputStream.nullOutputStream(), "process", new WorkMetrics(new SimpleMeterRegistry()));
    private final SchedulingService scheduling = new SchedulingService(
            SchedulingTermTest.createPorts(store), new SchedulingTerms(5_700, 6_000, 2_500, 6_000, 200, 2, 1));
    private final JobRequestService service = new JobRequestService(
            store,
            timers,
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

    private StoreOutcome submit(String job) {
        WorkSubmission submission = new WorkSubmission(
                job,
                "queue",
                "service",
                new QueueTerms(0, 3, 1.6, 600, Optional.empty()),
                "run",
                List.of(),
                0,
                0,
                0,
                0);
        CompletableFuture<StoreOutcome> outcome = service.submit(submission, TIMEOUT);
        assertTrue(outcome.isDone(), "the outcome is reported without delay");
        return outcome.join();
    }

    private int countStored(Topic topic) {
        return backingStore.snapshot(topic).join().records().size();
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
        assertEquals(StoreOutcome.UNCERTAIN, submit("first"), "an attempt was made and may take effect later");
        submit("second");
        assertEquals(StoreOutcome.REFUSED, submit("third"));
        assertFalse(service.canStore());
    }

    @Test
    void reportsUnknownOutcomeForJobThatMayBeStored() {
        backingStore.failNext(Fault.REPLY_LOST, 2);
        assertEquals(StoreOutcome.UNCERTAIN, submit("first"));
        assertEquals(StoreOutcome.UNCERTAIN, submit("first"), "the store is unavailable, so that nothing was sent");
        timers.advance(TIMEOUT);
        assertEquals(StoreOutcome.STORED, submit("first"));
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
