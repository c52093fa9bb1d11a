package org.cicadalead.adapters.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.sun.net.httpserver.HttpServer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.cicadalead.adapters.http.HttpServers;
import org.cicadalead.adapters.standin.PlatformStandIn;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HttpPlatformTest {
    private static final String LOOPBACK = "127.0.0.1";

    @ParameterizedTest
    @CsvSource({
        "400, , PLATFORM_UNAVAILABLE",
        "429, , PLATFORM_UNAVAILABLE",
        "408, , LOG_OUTCOME_UNKNOWN",
        "500, , LOG_OUTCOME_UNKNOWN",
        "502, , LOG_OUTCOME_UNKNOWN",
        "503, , LOG_OUTCOME_UNKNOWN",
        "503, not-run, PLATFORM_UNAVAILABLE",
        "504, unknown, LOG_OUTCOME_UNKNOWN"
    })
    void reportsNotAppendedOnlyWhenResponseProvesIt(int status, String execution, ErrorKind expected) {
        String body = execution == null ? "" : "{\"execution\":\"" + execution + "\"}";
        HttpServer server = startServer(status, body);
        try {
            HttpPlatform platform = new HttpPlatform(HttpServers.addressOf(server));
            assertEquals(expected, appendErrorKind(platform));
        } finally {
            server.stop(0);
        }
    }

    @Test
    void reportsNotAppendedWhenConnectionIsRefused() {
        HttpServer server = startServer(500, "");
        NetworkAddress address = HttpServers.addressOf(server);
        server.stop(0);
        assertEquals(ErrorKind.PLATFORM_UNAVAILABLE, appendErrorKind(new HttpPlatform(address)));
    }

    @Test
    void reportsUnknownOutcomeWhenReplyIsLost() {
        try (PlatformStandIn standIn = new PlatformStandIn(LOOPBACK, 0)) {
            standIn.log().loseReplies(1);
            HttpPlatform platform = new HttpPlatform(standIn.address());
            assertEquals(ErrorKind.LOG_OUTCOME_UNKNOWN, appendErrorKind(platform));
            assertEquals(1, platform.read(1, 10, Duration.ZERO).records().size());
        }
    }

    @Test
    void reportsNotAppendedDuringOutage() {
        try (PlatformStandIn standIn = new PlatformStandIn(LOOPBACK, 0)) {
            standIn.log().setAvailable(false);
            assertEquals(ErrorKind.PLATFORM_UNAVAILABLE, appendErrorKind(new HttpPlatform(standIn.address())));
        }
    }

    private static ErrorKind appendErrorKind(HttpPlatform platform) {
        return assertThrows(CicadaleadException.class, () -> platform.append(new byte[] {1}))
                .kind();
    }

    private static HttpServer startServer(int status, String body) {
        HttpServer server = HttpServers.bind(LOOPBACK, 0);
        byte[] encodedBody = body.getBytes(StandardCharsets.UTF_8);
        server.createContext("/", exchange -> {
            exchange.getRequestBody().readAllBytes();
            exchange.sendResponseHeaders(status, encodedBody.length == 0 ? -1 : encodedBody.length);
            exchange.getResponseBody().write(encodedBody);
            exchange.close();
        });
        server.start();
        return server;
    }
}
