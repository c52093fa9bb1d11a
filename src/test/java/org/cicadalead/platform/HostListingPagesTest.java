package org.cicadalead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cicadalead.logic.work.EarlierHosts;
import org.cicadalead.logic.work.SchedulingTerms;
import org.cicadalead.logic.work.WorkOrder;
import org.cicadalead.logic.work.WorkScheduler;
import org.cicadalead.logic.work.WorkTime;
import org.cicadalead.model.work.HostCapacity;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.HostListing;
import org.cicadalead.model.work.QueueTerms;
import org.cicadalead.model.work.RunKey;
import org.cicadalead.model.work.StartOutcome;
import org.cicadalead.model.work.StepSpecification;
import org.cicadalead.model.work.WorkPhase;
import org.cicadalead.model.work.WorkSubmission;
import org.cicadalead.ports.HostOrders;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against tasks that start again because their ends are on a later page of a host's list. */
class HostListingPagesTest {
    static {
        // Read once in a process, by the first client; other tests of the same process need it.
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    private static final int PAGE = 500;
    private static final int TASKS = 600;
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final HostEntry HOST = host("host");

    private final SchedulingTerms terms = new SchedulingTerms(5_700, 6_000, 2_500, 6_000, 200, 2_000, 3);
    private final HostClient client = new HostClient(new PlatformHttpClient(HttpClient.newHttpClient()));
    private volatile int acknowledged;
    private HttpServer server;

    private static HostEntry host(String identifier) {
        return new HostEntry(
                identifier,
                "service",
                identifier + ":1",
                "zone",
                false,
                1,
                0,
                new HostCapacity(TASKS, TASKS, 0),
                List.of("kind", "rack"));
    }

    @BeforeEach
    void listen() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/v1/hold", exchange -> {
            try (exchange) {
                acknowledged = PlatformHttpClient.decode(
                                exchange.getRequestBody().readAllBytes())
                        .path("ackPosition")
                        .asInt();
                LoopbackPlatform.send(exchange, PlatformHttpClient.OK, PlatformHttpClient.encode(listNextEnds()));
            }
        });
        server.start();
    }

    @AfterEach
    void close() {
        server.stop(0);
    }

    /** Lists the ends of all tasks, of which those up to the acknowledged number are forgotten. */
    private ObjectNode listNextEnds() {
        ObjectNode listing = PlatformHttpClient.JSON.createObjectNode();
        listing.put("born", 1).put("clockMs", 10);
        listing.putArray("active");
        ArrayNode ends = listing.putArray("ended");
        for (int end = acknowledged + 1; end <= Math.min(TASKS, acknowledged + PAGE); end++) {
            ends.addArray()
                    .add(end)
                    .add(JOB + ".0.0." + (end - 1))
                    .add(1)
                    .add("done")
                    .add("");
        }
        return listing;
    }

    private HostListing poll(long acknowledgedEnd) {
        HostOrders.Target target =
                new HostOrders.Target("host", "127.0.0.1:" + server.getAddress().getPort(), 1);
        return client.poll(target, OptionalLong.empty(), acknowledgedEnd, Duration.ZERO)
                .orTimeout(20, TimeUnit.SECONDS)
                .join()
                .listing()
                .orElseThrow();
    }

    private static WorkTime at(long milliseconds) {
        return new WorkTime(milliseconds, milliseconds);
    }

    private static WorkSubmission job() {
        StepSpecification step = new StepSpecification(
                TASKS,
                1,
                1,
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
        return new WorkSubmission(
                JOB,
                "queue",
                "service",
                new QueueTerms(0, 3, 1.6, 600, Optional.empty()),
                "run",
                List.of(step),
                0,
                0,
                0,
                0);
    }

    /** Decides with a store that confirms every announcement and all progress at once. */
    private static List<RunKey> decide(WorkScheduler scheduler, long now) {
        List<RunKey> starts = new ArrayList<>();
        for (int round = 0; round < 3; round++) {
            for (WorkOrder order : scheduler.decide(at(now), 0)) {
                if (order instanceof WorkOrder.Start start) {
                    starts.add(start.run());
                } else if (order instanceof WorkOrder.Persist persist) {
                    scheduler.onBatchResult(persist.batch(), true);
                }
            }
            scheduler.onAnnouncementStored(scheduler.announceHostsInUse(at(now)).generation());
        }
        return starts;
    }

    private void listAllPages(WorkScheduler scheduler, long now) {
        scheduler.onHostListing("host", poll(0), now, at(now));
        assertEquals(List.of(), decide(scheduler, now + 1), "starts after the first page");
        long acknowledgedEnd =
                scheduler.createPoll("host", at(now + 10), 0).orElseThrow().acknowledged();
        assertEquals(PAGE, acknowledgedEnd);
        scheduler.onHostListing("host", poll(acknowledgedEnd), now + 10, at(now + 11));
        assertEquals(List.of(), decide(scheduler, now + 12), "starts after the last page");
        // Until the next batch of progress is due.
        assertEquals(List.of(), decide(scheduler, now + 100), "starts after the last page");
        assertEquals(Optional.of(WorkPhase.COMPLETED), scheduler.findPhase(JOB));
    }

    @Test
    void startsNoTaskAgainWhoseEndIsOnALaterPage() {
        WorkScheduler scheduler = new WorkScheduler(terms, 1, EarlierHosts.NONE, 0);
        scheduler.updateHosts(List.of(HOST), at(0));
        scheduler.onHostListing("host", new HostListing(1, 0, List.of(), List.of()), 0, at(0));
        scheduler.addJob(job(), at(1));
        List<RunKey> starts = decide(scheduler, 2);
        assertEquals(TASKS, starts.size());
        starts.forEach(run -> scheduler.onStartReply("host", run, StartOutcome.STARTED, at(3)));
        scheduler.updateHosts(List.of(HOST, host("other")), at(4));
        scheduler.onHostListing("other", new HostListing(1, 0, List.of(), List.of()), 5, at(6));
        assertTrue(decide(scheduler, 7).isEmpty());
        listAllPages(scheduler, 100);
    }

    @Test
    void startsNoTaskOfAnEarlierTermAgainWhoseEndIsOnALaterPage() {
        EarlierHosts earlier =
                new EarlierHosts(Map.of("host", "service"), Map.of("host", 5_000L), Map.of(), Optional.of(Set.of(JOB)));
        WorkScheduler scheduler = new WorkScheduler(terms, 2, earlier, 0);
        scheduler.updateHosts(List.of(HOST, host("other")), at(0));
        scheduler.addJob(job(), at(1));
        scheduler.onHostListing("other", new HostListing(1, 0, List.of(), List.of()), 2, at(3));
        assertTrue(decide(scheduler, 4).isEmpty());
        listAllPages(scheduler, 100);
    }
}
