package org.cicadalead.adapters.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.concurrent.CountDownLatch;
import org.cicadalead.support.CallerFixture;
import org.cicadalead.support.FakeUpstream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks by the requests that reach the workers that a request that may have run is never sent again unless it is
 * idempotent.
 */
class AtMostOnceTest {
    @ParameterizedTest
    @ValueSource(strings = {"true", "false"})
    void neverResendsAfterConnectionReset(String usePost) {
        try (FakeUpstream upstream = new FakeUpstream((socket, number) -> {
                    FakeUpstream.reset(socket);
                    return false;
                });
                CallerFixture fixture = new CallerFixture(upstream, FakeUpstream.respondingWith("second"))) {
            HttpResponse<String> response = usePost.equals("true")
                    ? fixture.post("deliver", "Request-Idempotent", "false")
                    : fixture.get("Request-Idempotent", "false");
            if (response.statusCode() == 200) {
                // The other worker was chosen; the next request goes to the one that breaks the connection.
                response = fixture.post("deliver");
            }
            assertEquals(502, response.statusCode());
            assertTrue(response.body().contains("\"execution\":\"unknown\""));
            assertEquals(1, upstream.requestHeads().size());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"GET", "POST"})
    void neverRetriesWhenWorkerClosesKeepAliveConnection(String method) {
        try (FakeUpstream upstream = new FakeUpstream((socket, number) -> {
                    if (number == 2) {
                        return false;
                    }
                    FakeUpstream.send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                    return true;
                });
                CallerFixture fixture = new CallerFixture(upstream)) {
            HttpResponse<String> first = send(fixture, method);
            HttpResponse<String> second = send(fixture, method);
            assertEquals(200, first.statusCode());
            assertEquals(502, second.statusCode());
            assertEquals(2, upstream.requestHeads().size());
        }
    }

    @Test
    void retriesIdempotentRequestOnAnotherWorker() {
        FakeUpstream.Behavior resetsConnection = (socket, number) -> {
            FakeUpstream.reset(socket);
            return false;
        };
        try (FakeUpstream breaking = new FakeUpstream(resetsConnection);
                FakeUpstream working = FakeUpstream.respondingWith("second");
                CallerFixture fixture = new CallerFixture(breaking, working)) {
            for (int count = 0; count < 4; count++) {
                assertEquals("second", fixture.get().body());
            }
            assertTrue(breaking.requestHeads().size() >= 1);
        }
    }

    @Test
    void reportsNotRunWhenWorkerIsDown() {
        FakeUpstream stoppedUpstream = FakeUpstream.respondingWith("never");
        stoppedUpstream.close();
        try (CallerFixture fixture = new CallerFixture(stoppedUpstream)) {
            HttpResponse<String> response = fixture.post("deliver");
            assertEquals(503, response.statusCode());
            assertTrue(response.body().contains("\"execution\":\"not-run\""));
            assertTrue(response.headers().firstValue("Retry-After").isPresent());
        }
    }

    @Test
    void lateResponseIsDiscardedAndOutcomeUnknown() {
        CountDownLatch release = new CountDownLatch(1);
        try (FakeUpstream upstream = new FakeUpstream((socket, number) -> {
                    if (number == 1) {
                        release.await();
                    }
                    String text = "answer-" + number;
                    FakeUpstream.send(
                            socket, "HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
                    return true;
                });
                CallerFixture fixture = new CallerFixture(upstream)) {
            HttpResponse<String> lateResponse = fixture.post("one", "Request-Timeout-Milliseconds", "200");
            release.countDown();
            assertEquals(504, lateResponse.statusCode());
            assertEquals("answer-2", fixture.post("two").body());
            assertEquals(2, upstream.requestHeads().size());
        }
    }

    @Test
    void forwardsRedirectWithoutFollowing() {
        try (FakeUpstream other = FakeUpstream.respondingWith("followed");
                FakeUpstream upstream = new FakeUpstream((socket, number) -> {
                    FakeUpstream.send(
                            socket,
                            "HTTP/1.1 307 Temporary Redirect\r\nLocation: http://" + other.address()
                                    + "/\r\nContent-Length: 0\r\n\r\n");
                    return true;
                });
                CallerFixture fixture = new CallerFixture(upstream)) {
            assertEquals(307, fixture.post("deliver").statusCode());
            assertEquals(0, other.requestHeads().size());
        }
    }

    @Test
    void sendsNothingToHostWithdrawnAfterSelection() {
        java.util.concurrent.atomic.AtomicInteger viewChecks = new java.util.concurrent.atomic.AtomicInteger();
        try (FakeUpstream upstream = FakeUpstream.respondingWith("ran");
                CallerFixture fixture = new CallerFixture(
                        java.util.Optional.of(chosen -> viewChecks.incrementAndGet() % 2 == 1), upstream)) {
            HttpResponse<String> response = fixture.post("deliver");
            assertEquals(503, response.statusCode());
            assertTrue(response.body().contains("\"execution\":\"not-run\""));
            assertEquals(0, upstream.requestHeads().size());
        }
    }

    private static HttpResponse<String> send(CallerFixture fixture, String method) {
        return method.equals("GET")
                ? fixture.get("Request-Idempotent", "false")
                : fixture.post("body", "Request-Idempotent", "false");
    }
}
