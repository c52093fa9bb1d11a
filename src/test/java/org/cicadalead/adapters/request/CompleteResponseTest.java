package org.cicadalead.adapters.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.util.concurrent.CountDownLatch;
import org.cicadalead.support.CallerFixture;
import org.cicadalead.support.FakeUpstream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that a caller gets its own response completely, or can detect that it did not. */
class CompleteResponseTest {
    private static final int LONG_BODY = 300_000;

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 400000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n61a80\r\n"})
    void truncatedLongResponseIsNotTerminatedNormally(String lengthAndStart) {
        try (FakeUpstream upstream = new FakeUpstream((socket, number) -> {
                    FakeUpstream.send(socket, "HTTP/1.1 200 OK\r\n" + lengthAndStart + "x".repeat(LONG_BODY));
                    return false;
                });
                CallerFixture fixture = new CallerFixture(upstream)) {
            assertThrows(RuntimeException.class, () -> fixture.post("deliver"));
            String raw = fixture.sendRaw("POST " + CallerFixture.PATH
                    + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            assertFalse(raw.endsWith("0\r\n\r\n"));
        }
    }

    @Test
    void truncatedShortResponseBecomesError() {
        try (FakeUpstream upstream = new FakeUpstream((socket, number) -> {
                    FakeUpstream.send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
                    return false;
                });
                CallerFixture fixture = new CallerFixture(upstream)) {
            HttpResponse<String> response = fixture.post("deliver");
            assertEquals(502, response.statusCode());
            assertFalse(response.body().contains("half"));
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void deliversLongResponseCompletely(boolean chunked) {
        String body = "y".repeat(LONG_BODY);
        String framed = chunked
                ? "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(LONG_BODY) + "\r\n" + body
                        + "\r\n0\r\n\r\n"
                : "Content-Length: " + LONG_BODY + "\r\n\r\n" + body;
        try (FakeUpstream upstream = new FakeUpstream((socket, number) -> {
                    FakeUpstream.send(socket, "HTTP/1.1 200 OK\r\n" + framed);
                    return true;
                });
                CallerFixture fixture = new CallerFixture(upstream)) {
            assertEquals(body, fixture.get().body());
        }
    }

    @Test
    void streamsLongBody() {
        try (FakeUpstream upstream = FakeUpstream.respondingWith("taken");
                CallerFixture fixture = new CallerFixture(upstream)) {
            HttpResponse<String> response = fixture.send(fixture.request(CallerFixture.PATH)
                    .POST(BodyPublishers.ofByteArray(new byte[LONG_BODY]))
                    .build());
            assertEquals("taken", response.body());
            assertTrue(upstream.requestHeads()
                    .get(0)
                    .toLowerCase(java.util.Locale.ROOT)
                    .contains("content-length: 300000"));
        }
    }

    @Test
    void callerDisconnectDuringResponseFreesSlot() throws IOException {
        CountDownLatch openLatch = new CountDownLatch(0);
        try (FakeUpstream upstream = new FakeUpstream((socket, number) -> {
                    openLatch.await();
                    int length = number == 1 ? 50_000_000 : 2;
                    FakeUpstream.send(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n");
                    FakeUpstream.send(socket, "z".repeat(length));
                    return true;
                });
                CallerFixture fixture = new CallerFixture(upstream)) {
            try (Socket socket = fixture.openSocket()) {
                FakeUpstream.send(
                        socket, "POST " + CallerFixture.PATH + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
                InputStream input = socket.getInputStream();
                assertTrue(input.read() > 0);
            }
            // The fixture's worker has one slot, so this request waits until the slot of the first is released.
            assertEquals("zz", fixture.post("next").body());
        }
    }

    @Test
    void doesNotForwardHopByHopHeaders() {
        try (FakeUpstream upstream = new FakeUpstream((socket, number) -> {
                    FakeUpstream.send(
                            socket,
                            String.join(
                                    "\r\n",
                                    "HTTP/1.1 200 OK",
                                    "Connection: X-Hop",
                                    "X-Hop: secret",
                                    "X-Kept: yes",
                                    "Content-Length: 0",
                                    "",
                                    ""));
                    return true;
                });
                CallerFixture fixture = new CallerFixture(upstream)) {
            String raw = fixture.sendRaw("GET " + CallerFixture.PATH + " HTTP/1.1\r\nHost: a\r\n"
                    + "Connection: close, X-Private\r\nX-Private: 1\r\nX-Public: 2\r\nTE: trailers\r\n\r\n");
            String head = upstream.requestHeads().get(0);
            assertTrue(raw.contains("yes"));
            assertFalse(raw.contains("secret"));
            assertTrue(head.contains("X-public: 2") || head.contains("X-Public: 2"));
            assertFalse(head.toLowerCase(java.util.Locale.ROOT).contains("x-private"));
            assertFalse(head.contains("trailers"));
        }
    }
}
