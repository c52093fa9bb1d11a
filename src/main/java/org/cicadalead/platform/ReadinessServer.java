package org.cicadalead.platform;

import com.sun.net.httpserver.HttpServer;
import java.util.concurrent.ExecutorService;
import java.util.function.BooleanSupplier;
import org.cicadalead.adapters.http.HttpServers;

/** Serves the platform's readiness check of this process. Safe for use by several threads. */
final class ReadinessServer implements AutoCloseable {
    private static final String PATH = "/v1/readyz";

    private final HttpServer server;

    ReadinessServer(PlatformSettings.SocketAddress address, ExecutorService executor, BooleanSupplier isReady) {
        this.server = HttpServers.bind(address.ip(), address.port());
        server.setExecutor(executor);
        server.createContext(PATH, exchange -> {
            try (exchange) {
                exchange.getRequestBody().readAllBytes();
                exchange.sendResponseHeaders(
                        isReady.getAsBoolean() ? PlatformHttpClient.OK : PlatformHttpClient.SERVICE_UNAVAILABLE, -1);
            }
        });
        server.start();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
