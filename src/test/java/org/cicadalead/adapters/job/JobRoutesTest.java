package org.cicadalead.adapters.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.locks.LockSupport;
import org.cicadalead.adapters.quickstart.ExampleDeployment;
import org.cicadalead.adapters.quickstart.QuickstartFleet;
import org.cicadalead.model.identity.JobIdentifier;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

class JobRoutesTest {
    private static final String JOB =
            "{\"pool\":\"routes\",\"processors\":2,\"memoryGigabytes\":4,\"payload\":\"run-milliseconds=%d\"}";
    private static final String LARGE_JOB =
            "{\"pool\":\"routes\",\"processors\":65,\"memoryGigabytes\":4,\"payload\":\"x\"}";
    private static final long POLL_NANOSECONDS = 20_000_000;
    private static final int MAX_POLLS = 1_500;

    private static final HttpClient CLIENT = HttpClient.newHttpClient();
    private static QuickstartFleet fleet;

    @BeforeAll
    static void startFleet() {
        fleet = QuickstartFleet.start(ExampleDeployment.load("blue-mountain"));
    }

    @AfterAll
    static void stopFleet() {
        fleet.close();
    }

    @Test
    void acceptsJobAndReportsFinishedPhase() throws Exception {
        HttpResponse<String> accepted = submit(0, "finishes", String.format(JOB, 10));
        assertEquals(202, accepted.statusCode(), accepted.body());
        String location = accepted.headers().firstValue("Location").orElseThrow();
        awaitPhase(location, "FINISHED");
        assertEquals(
                1,
                fleet.platform()
                        .tasks()
                        .executionCounts()
                        .get(jobIdentifierOf(location))
                        .starts());
    }

    @Test
    void returnsSameJobForSameKeyThroughAnotherEntryProcess() throws Exception {
        String first = location(submit(0, "twice", String.format(JOB, 10)));
        String second = location(submit(1, "twice", String.format(JOB, 10)));
        assertEquals(first, second);
    }

    @Test
    void rejectsOtherJobUnderUsedKey() throws Exception {
        submit(0, "reused", String.format(JOB, 10));
        assertEquals(422, submit(0, "reused", String.format(JOB, 11)).statusCode());
    }

    @Test
    void rejectsJobThatFitsNoHostAndStatesSizes() throws Exception {
        HttpResponse<String> rejected = submit(0, "large", LARGE_JOB);
        assertEquals(422, rejected.statusCode());
        assertTrue(rejected.body().contains("65.0 processors"), rejected.body());
        assertTrue(rejected.body().contains("64.0 processors"), rejected.body());
    }

    @Test
    void rejectsJobWithoutTeam() throws Exception {
        HttpRequest request = HttpRequest.newBuilder(uri(0, "/jobs"))
                .POST(HttpRequest.BodyPublishers.ofString(LARGE_JOB))
                .build();
        assertEquals(403, send(request).statusCode());
    }

    @Test
    void cancelsRunningJobOnlyForOwningTeam() throws Exception {
        String location = location(submit(0, "cancelled", String.format(JOB, 600_000)));
        awaitPhase(location, "RUNNING");
        assertEquals(403, send(delete(location, "kitchens")).statusCode());
        assertEquals(202, send(delete(location, "drivers")).statusCode());
        awaitPhase(location, "CANCELLED");
    }

    @Test
    void rejectsSubmissionAsNotRunWhenLogIsUnavailable() throws Exception {
        fleet.platform().log().setAvailable(false);
        try {
            HttpResponse<String> rejected = submit(0, "during outage", String.format(JOB, 10));
            assertEquals(503, rejected.statusCode());
            assertTrue(rejected.body().contains("not-run"), rejected.body());
        } finally {
            fleet.platform().log().setAvailable(true);
        }
    }

    private static void awaitPhase(String location, String phase) throws Exception {
        String body = "";
        for (int attempt = 0; attempt < MAX_POLLS; attempt++) {
            body = send(HttpRequest.newBuilder(uri(0, location)).build()).body();
            if (body.contains("\"" + phase + "\"")) {
                return;
            }
            LockSupport.parkNanos(POLL_NANOSECONDS);
        }
        throw new AssertionError("The job did not reach the phase " + phase + ": " + body);
    }

    private static HttpResponse<String> submit(int entry, String key, String body) throws Exception {
        return send(HttpRequest.newBuilder(uri(entry, "/jobs"))
                .header("Request-Team", "drivers")
                .header("Idempotency-Key", "\"" + key + "\"")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build());
    }

    private static HttpRequest delete(String location, String team) {
        return HttpRequest.newBuilder(uri(0, location))
                .header("Request-Team", team)
                .DELETE()
                .build();
    }

    private static String location(HttpResponse<String> response) {
        return response.headers().firstValue("Location").orElseThrow(() -> new AssertionError(response.body()));
    }

    private static JobIdentifier jobIdentifierOf(String location) {
        return new JobIdentifier(URI.create(location).getPath().substring("/jobs/".length()));
    }

    private static URI uri(int entry, String path) {
        return URI.create("http://" + fleet.callerAddresses().get(entry) + path);
    }

    private static HttpResponse<String> send(HttpRequest request) throws Exception {
        return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
