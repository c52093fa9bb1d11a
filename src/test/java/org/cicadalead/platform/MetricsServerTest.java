package org.cicadalead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.cicadalead.adapters.work.WorkMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class MetricsServerTest {
    private static final String ADDRESS = "127.0.0.1";

    private final ExecutorService executor = Executors.newSingleThreadExecutor();

    @AfterEach
    void stop() {
        executor.shutdownNow();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    @Test
    void servesCountersAndLatencyHistogramsAsText() throws IOException, InterruptedException {
        PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        new WorkMetrics(registry).recordCallerRequest("POST", PlatformHttpClient.OK, Duration.ofMillis(3));
        int port = freePort();
        MetricsServer server =
                new MetricsServer(new PlatformSettings.SocketAddress(ADDRESS, port), executor, registry::scrape);
        HttpResponse<String> response = HttpClient.newHttpClient()
                .send(
                        HttpRequest.newBuilder(URI.create("http://" + ADDRESS + ":" + port + "/metrics"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        server.close();
        assertEquals(PlatformHttpClient.OK, response.statusCode());
        assertTrue(
                response.body().contains("cicadalead_callers_requests_seconds_bucket{method=\"POST\",status=\"200\""));
    }
}
