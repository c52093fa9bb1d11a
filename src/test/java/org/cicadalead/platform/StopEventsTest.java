package org.cicadalead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a stop whose steps, and whose unanswered requests, leave no line. */
class StopEventsTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final String AUTHORITY = "jobs.example";

    @TempDir
    Path folder;

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private LoopbackPlatform loopback;

    @BeforeEach
    void start() {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        loopback = new LoopbackPlatform(folder, 1);
    }

    @AfterEach
    void stop() {
        loopback.close();
    }

    private List<JsonNode> events(String kind) throws IOException {
        List<JsonNode> events = new ArrayList<>();
        for (String line : output.toString(StandardCharsets.UTF_8).lines().toList()) {
            JsonNode event = PlatformHttpClient.JSON.readTree(line);
            if (event.path("kind").asText().equals(kind)) {
                events.add(event);
            }
        }
        return events;
    }

    private void awaitStatus(String address, String path, int status) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        HttpResponse<String> response = loopback.sendRequest("GET", address, AUTHORITY, path, "");
        while (response.statusCode() != status && System.nanoTime() < deadline) {
            Thread.sleep(30);
            response = loopback.sendRequest("GET", address, AUTHORITY, path, "");
        }
        assertEquals(status, response.statusCode());
    }

    @Test
    void logsStepsOfStopAndRequestThatIsOpenAtItsEnd() throws IOException, InterruptedException {
        String address = loopback.startEntry("one", output);
        awaitStatus(address, "/plan/", PlatformHttpClient.OK);
        awaitStatus(address, "/plan/00000000000000a1", PlatformHttpClient.GONE);
        int colon = address.indexOf(':');
        try (Socket socket = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))) {
            String head =
                    "POST /plan/00000000000000a2 HTTP/1.1\r\nHost: " + AUTHORITY + "\r\nContent-Length: 1000\r\n\r\n{";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            long deadline = System.nanoTime() + TIMEOUT.toNanos();
            while (loopback.entry(0).inFlightRequests() == 0 && System.nanoTime() < deadline) {
                Thread.onSpinWait();
            }
            loopback.entry(0).stopGracefully();
        }
        JsonNode stopping = events("PROCESS_STOPPING").get(0);
        assertEquals(6_000, stopping.path("graceMilliseconds").asLong(), stopping::toString);
        assertEquals("1", stopping.path("leadingEpoch").asText(), stopping::toString);
        assertTrue(stopping.path("leader").asText().startsWith("127.0.0.1:"), stopping::toString);
        assertEquals(1, stopping.path("inFlight").asInt(), stopping::toString);
        List<JsonNode> steps = events("STOP_STEP_COMPLETED");
        assertEquals(
                List.of("RESIGNATION", "DRAIN", "CONNECTIONS_CLOSED"),
                steps.stream().map(step -> step.path("step").asText()).toList());
        assertEquals("1", steps.get(1).path("inFlight").asText(), steps::toString);
        long durations = steps.stream()
                .mapToLong(step -> step.path("durationMilliseconds").asLong())
                .sum();
        JsonNode stopped = events("PROCESS_STOPPED").get(0);
        assertTrue(durations > 0 && stopped.path("durationMilliseconds").asLong() >= durations, stopped::toString);
        List<JsonNode> unanswered = events("REQUEST_UNANSWERED");
        assertEquals(1, unanswered.size(), unanswered::toString);
        assertEquals("POST", unanswered.get(0).path("method").asText());
        assertEquals("/plan/00000000000000a2", unanswered.get(0).path("path").asText());
        assertEquals("BODY", unanswered.get(0).path("waitingFor").asText());
        assertTrue(unanswered.get(0).path("ageMilliseconds").asLong() > 0);
    }

    @Test
    void logsLeaderThatWasAskedAndNoneUnansweredWhenIdle() throws IOException, InterruptedException {
        String address = loopback.startEntry("one", output);
        awaitStatus(address, "/plan/", PlatformHttpClient.OK);
        awaitStatus(address, "/plan/00000000000000b1", PlatformHttpClient.GONE);
        loopback.entry(0).stopGracefully();
        List<JsonNode> queries = new ArrayList<>(events("QUEUE_ASKED"));
        queries.addAll(events("JOB_ASKED"));
        assertTrue(queries.size() >= 2, queries::toString);
        for (JsonNode query : List.of(
                queries.get(queries.size() - 1),
                events("QUEUE_ASKED").get(events("QUEUE_ASKED").size() - 1))) {
            assertEquals("true", query.path("answered").asText(), query::toString);
            assertEquals("1", query.path("leaderEpoch").asText(), query::toString);
        }
        assertEquals(List.of(), events("REQUEST_UNANSWERED"));
        assertEquals(0, events("PROCESS_STOPPED").get(0).path("inFlight").asInt());
    }
}
