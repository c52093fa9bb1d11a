package org.cicadalead.platform;

import com.sun.net.httpserver.HttpServer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.function.Supplier;
import org.cicadalead.adapters.http.HttpServers;

/** Serves the metrics of this process in Prometheus text format. Safe for use by several threads. */
final class MetricsServer implements AutoCloseable {
    private static final String PATH = "/metrics";
    private static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private final HttpServer server;

    MetricsServer(PlatformSettings.SocketAddress address, ExecutorService executor, Supplier<String> metricsText) {
        this.server = HttpServers.bind(address.ip(), address.port());
        server.setExecutor(executor);
        server.createContext(PATH, exchange -> {
            try (exchange) {
                exchange.getRequestBody().readAllBytes();
                byte[] body = metricsText.get().getBytes(StandardCharsets.UTF_8);
                exchange.getResponseHeaders().set("Content-Type", CONTENT_TYPE);
                exchange.sendResponseHeaders(PlatformHttpClient.OK, body.length);
                exchange.getResponseBody().write(body);
            }
        });
        server.start();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
