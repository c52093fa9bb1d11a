package org.cicadalead.adapters.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.cicadalead.adapters.work.OpenRequests.OpenRequest;
import org.cicadalead.adapters.work.OpenRequests.WaitingFor;
import org.cicadalead.support.ManualTimerService;
import org.junit.jupiter.api.Test;

/** Guards against requests that end without an answer and without a line, and against lines without a bound. */
class OpenRequestsTest {
    private static final double TOLERANCE = 1e-6;

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final ManualTimerService timers = new ManualTimerService();
    private final DecisionLog log = new DecisionLog(output, "process", new WorkMetrics(registry));
    private final OpenRequests requests = new OpenRequests(timers, log);

    private List<String> lines() {
        log.close();
        return output.toString(StandardCharsets.UTF_8).lines().toList();
    }

    private double unanswered(String method) {
        return registry.counter("cicadalead.callers.unanswered", "method", method)
                .count();
    }

    @Test
    void reportsOpenRequestsWithWhatTheyWaitForAndOldestFirst() {
        OpenRequest query = requests.begin("GET", "/plan/1");
        query.waitFor(WaitingFor.LEADER);
        timers.advance(Duration.ofMillis(250));
        requests.begin("POST", "/plan/2").waitFor(WaitingFor.STORE);
        requests.end(requests.begin("DELETE", "/plan/3"));
        timers.advance(Duration.ofMillis(50));
        assertEquals(2, requests.count());
        requests.reportUnanswered();
        requests.reportUnanswered();
        List<String> lines = lines();
        assertEquals(2, lines.size(), lines::toString);
        assertTrue(
                lines.get(0)
                        .endsWith("\"kind\":\"REQUEST_UNANSWERED\",\"process\":\"process\",\"method\":\"GET\","
                                + "\"path\":\"/plan/1\",\"ageMilliseconds\":\"300\",\"waitingFor\":\"LEADER\"}"),
                lines.get(0));
        assertTrue(lines.get(1).contains("\"ageMilliseconds\":\"50\",\"waitingFor\":\"STORE\""), lines.get(1));
        assertEquals(1, unanswered("GET"));
        assertEquals(1, unanswered("POST"));
        assertEquals(0, unanswered("DELETE"));
    }

    @Test
    void reportsRequestsThatClosingOfConnectionsEndsButNoneThatWasAnswered() {
        OpenRequest cut = requests.begin("POST", "/cut");
        OpenRequest answered = requests.begin("GET", "/answered");
        OpenRequest lost = requests.begin("GET", "/lost");
        requests.onConnectionsClosing();
        answered.onAnswered();
        requests.onResponseLost(lost);
        List.of(cut, answered, lost).forEach(requests::end);
        requests.reportUnanswered();
        List<String> lines = lines();
        assertEquals(1, lines.size(), lines::toString);
        assertTrue(lines.get(0).contains("\"path\":\"/cut\""), lines.get(0));
        assertEquals(1, unanswered("POST"));
        assertEquals(1, unanswered("GET"));
    }

    @Test
    void linesStayBoundedWhenManyRequestsAreOpen() {
        for (int number = 0; number < 1_000; number++) {
            requests.begin("METHOD-" + number, "/" + "p".repeat(10_000));
        }
        requests.reportUnanswered();
        List<String> lines = lines();
        assertEquals(51, lines.size());
        assertTrue(lines.get(50).endsWith("\"leftOut\":\"950\"}"), lines.get(50));
        assertTrue(lines.stream().allMatch(line -> line.length() < 500));
        assertEquals(1_000, unanswered("other"));
    }

    @Test
    void countsEachRequestOnceAndShowsAgeOfOldest() {
        OpenRequest first = requests.begin("GET", "/first");
        timers.advance(Duration.ofMillis(1_500));
        OpenRequest second = requests.begin("GET", "/second");
        timers.advance(Duration.ofMillis(500));
        assertEquals(2, oldestAge(), TOLERANCE);
        requests.end(first);
        requests.end(first);
        assertEquals(1, requests.count());
        assertEquals(0.5, oldestAge(), TOLERANCE);
        requests.end(second);
        assertEquals(0, requests.count());
        assertEquals(0, oldestAge(), TOLERANCE);
        log.close();
    }

    private double oldestAge() {
        return registry.get("cicadalead.callers.oldest.open.seconds").gauge().value();
    }
}
