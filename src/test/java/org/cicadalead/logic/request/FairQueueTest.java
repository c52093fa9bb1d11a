package org.cicadalead.logic.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cicadalead.logic.request.FairQueue.RejectedRequest;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.RequestIdentifier;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.identity.TeamName;
import org.cicadalead.model.request.RequestTerms;
import org.junit.jupiter.api.Test;

class FairQueueTest {
    private static final QueueLoad FAST = new QueueLoad(8, Duration.ofMillis(1).toNanos());
    private static final int LIMIT = 1_000;

    private final FairQueue<String> queue = new FairQueue<>();

    @Test
    void servesMostUrgentFirst() {
        offer("cooks", 3, Duration.ofSeconds(1), "usual");
        offer("cooks", 7, Duration.ofSeconds(1), "background");
        offer("drivers", 0, Duration.ofSeconds(9), "urgent");
        assertEquals(List.of("urgent", "usual", "background"), pollAll());
    }

    @Test
    void servesEarliestDeadlineOfTeamFirst() {
        offer("cooks", 3, Duration.ofSeconds(9), "late");
        offer("cooks", 3, Duration.ofSeconds(1), "early");
        assertEquals(List.of("early", "late"), pollAll());
    }

    @Test
    void servesTeamsInProportionToShares() {
        for (int count = 0; count < 60; count++) {
            offer("cooks", 3, Duration.ofSeconds(9), "cooks", 3);
            offer("drivers", 3, Duration.ofSeconds(9), "drivers", 1);
        }
        List<String> firstPolled = pollAll().subList(0, 40);
        assertEquals(30, firstPolled.stream().filter("cooks"::equals).count());
    }

    @Test
    void burstOfOneTeamDoesNotDelayAnother() {
        for (int count = 0; count < 500; count++) {
            offer("cooks", 3, Duration.ofSeconds(9), "burst");
        }
        offer("drivers", 3, Duration.ofSeconds(9), "single");
        assertTrue(pollAll().subList(0, 2).contains("single"));
    }

    @Test
    void fullQueueRejectsRequestOfTeamOverItsShare() {
        for (int count = 0; count < LIMIT; count++) {
            offer("cooks", 3, Duration.ofSeconds(9), "burst");
        }
        List<RejectedRequest<String>> rejected = offer("drivers", 3, Duration.ofSeconds(9), "single");
        assertEquals(List.of(ErrorKind.QUEUE_FULL), kinds(rejected));
        assertEquals("burst", rejected.get(0).request().item());
    }

    @Test
    void rejectsRequestThatWouldStartAfterDeadline() {
        QueueLoad slow = new QueueLoad(1, Duration.ofSeconds(1).toNanos());
        for (int count = 0; count < 5; count++) {
            queue.offer(terms("cooks", 3, Duration.ofSeconds(60)), "waiting", 1, LIMIT, slow, 0);
        }
        List<RejectedRequest<String>> rejected =
                queue.offer(terms("cooks", 3, Duration.ofSeconds(3)), "hopeless", 1, LIMIT, slow, 0);
        // The earlier deadline puts it before the five, so it is rejected only behind more urgent ones.
        assertEquals(List.of(), rejected);
        for (int count = 0; count < 5; count++) {
            queue.offer(terms("cooks", 0, Duration.ofSeconds(60)), "urgent", 1, LIMIT, slow, 0);
        }
        rejected = queue.offer(terms("cooks", 3, Duration.ofSeconds(3)), "hopeless", 1, LIMIT, slow, 0);
        assertEquals(List.of(ErrorKind.DEADLINE_UNREACHABLE), kinds(rejected));
        assertEquals(11, rejected.get(0).retryAfterSeconds());
    }

    @Test
    void rejectsWaitingRequestsWhenServiceSlowsDown() {
        for (int count = 0; count < 100; count++) {
            offer("cooks", 3, Duration.ofSeconds(10), "waiting");
        }
        QueueLoad slower = new QueueLoad(2, Duration.ofSeconds(1).toNanos());
        List<RejectedRequest<String>> rejected = queue.removeUnreachable(slower, 0);
        assertEquals(21, queue.size());
        assertEquals(79, rejected.size());
    }

    @Test
    void massCancellationKeepsOtherRequests() {
        for (int count = 0; count < 5_000; count++) {
            queue.offer(terms("cooks", 3, Duration.ofSeconds(100 + count)), "cancelled", 1, 10_000, FAST, 0);
        }
        queue.offer(terms("drivers", 3, Duration.ofSeconds(9)), "kept", 1, 10_000, FAST, 0);
        List<WaitingRequest<String>> cancelled = queue.cancelAll(item -> item.equals("cancelled"));
        assertEquals(5_000, cancelled.size());
        assertEquals(List.of("kept"), pollAll());
    }

    @Test
    void stopsTrackingTeamsWithoutWaitingRequests() {
        for (int team = 0; team < 100; team++) {
            offer("team-" + team, 3, Duration.ofSeconds(9), "one");
        }
        pollAll();
        assertEquals(0, queue.countTrackedTeams());
    }

    private List<RejectedRequest<String>> offer(String team, int urgency, Duration timeout, String item) {
        return offer(team, urgency, timeout, item, 1);
    }

    private List<RejectedRequest<String>> offer(String team, int urgency, Duration timeout, String item, int share) {
        return queue.offer(terms(team, urgency, timeout), item, share, LIMIT, FAST, 0);
    }

    private static RequestTerms terms(String team, int urgency, Duration timeout) {
        return new RequestTerms(
                new RequestIdentifier("request"),
                new ServiceName("diet-checks"),
                new TeamName(team),
                urgency,
                true,
                0,
                timeout.toNanos());
    }

    private static List<ErrorKind> kinds(List<RejectedRequest<String>> rejected) {
        return rejected.stream().map(RejectedRequest::kind).toList();
    }

    private List<String> pollAll() {
        List<String> items = new ArrayList<>();
        for (Optional<WaitingRequest<String>> next = queue.poll(); next.isPresent(); next = queue.poll()) {
            items.add(next.get().item());
        }
        return items;
    }
}
