package org.cicadalead.adapters.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest.BodyPublishers;
import org.cicadalead.support.CallerFixture;
import org.cicadalead.support.FakeUpstream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that invalid input gets a specific error, is never forwarded, and does not affect other requests. */
class BadInputTest {
    private final FakeUpstream upstream = FakeUpstream.respondingWith("ran");
    private final CallerFixture fixture = new CallerFixture(upstream);

    @AfterEach
    void close() {
        fixture.close();
        upstream.close();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "Content-Length: 3~Transfer-Encoding: chunked~~0~~|400",
                "Content-Length: 3~Content-Length: 4~~abcd|400",
                "Content-Length: 3~Content-Length: 3~~abc|400",
                "Content-Length: +3~~abc|400",
                "Content-Length: -3~~abc|400",
                "Transfer-Encoding: gzip, chunked~~0~~|501",
                "Request-Timeout-Milliseconds: soon~~|400",
                "Request-Timeout-Milliseconds: 0~~|400",
                "Request-Team: strangers~~|403",
                "Request-Team: team-0~Request-Team: team-1~~|400",
                "Request-Idempotent: maybe~~|400",
                "Idempotency-Key: a~Idempotency-Key: b~~|400",
                "Content-Length: 99999999~~|413",
            })
    void rejectsInvalidHead(String headersAndBody, int status) {
        String raw = fixture.sendRaw("POST " + CallerFixture.PATH + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                + headersAndBody.replace("~", "\r\n") + "\r\n");
        assertTrue(raw.startsWith("HTTP/1.1 " + status), raw);
        assertEquals(0, upstream.requestHeads().size());
        assertEquals("ran", fixture.get().body());
    }

    @Test
    void rejectsOversizedHeaders() {
        String raw = fixture.sendRaw(
                "GET " + CallerFixture.PATH + " HTTP/1.1\r\nHost: a\r\nX-Large: " + "x".repeat(10_000) + "\r\n\r\n");
        assertTrue(raw.startsWith("HTTP/1.1 431"), raw);
    }

    @Test
    void rejectsOversizedChunkedBody() {
        var response = fixture.send(fixture.request(CallerFixture.PATH)
                .POST(BodyPublishers.fromPublisher(BodyPublishers.ofByteArray(new byte[3_000_000])))
                .build());
        assertEquals(413, response.statusCode());
    }

    @ParameterizedTest
    @CsvSource({"/services/unheard-of/,404", "/,404", "/services/..%2f/,404"})
    void rejectsUnknownPath(String path, int status) {
        assertEquals(status, fixture.send(fixture.request(path).build()).statusCode());
    }

    @Test
    void rejectsHttp10() {
        assertTrue(fixture.sendRaw("GET " + CallerFixture.PATH + " HTTP/1.0\r\n\r\n")
                .contains("400"));
    }

    @Test
    void incompleteBodyDoesNotBlockOtherRequests() throws IOException {
        try (Socket incomplete = fixture.openSocket()) {
            FakeUpstream.send(
                    incomplete,
                    "POST " + CallerFixture.PATH + " HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nhalf");
            for (int count = 0; count < 5; count++) {
                assertEquals("ran", fixture.get().body());
            }
        }
        assertTrue(upstream.requestHeads().stream().noneMatch(head -> head.startsWith("POST")));
    }

    @Test
    void acceptsTeamFromHeader() {
        assertEquals("ran", fixture.get("Request-Team", "team-1").body());
    }

    @Test
    void everyResponseCarriesRequestIdentifier() {
        assertTrue(fixture.get().headers().firstValue("Request-Identifier").isPresent());
    }
}
