package org.cicadalead.adapters.standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import org.cicadalead.adapters.http.HttpServers;
import org.cicadalead.model.configuration.NetworkAddress;

/**
 * A worker that responds to each request with the request's body after a fixed time, and counts how often each request
 * ran. Safe for use by several threads.
 */
public final class UpstreamStandIn implements AutoCloseable {
    /** Request header that identifies a request. */
    public static final String REQUEST_HEADER = "Stand-In-Request";

    /** Response header that repeats the identifier of the request. */
    public static final String RESPONSE_HEADER = "Stand-In-Answer";

    private static final int OK = 200;

    private final Map<String, AtomicInteger> runCounts = new ConcurrentHashMap<>();
    private final AtomicInteger runningRequests = new AtomicInteger();
    private final AtomicInteger maximumRunningRequests = new AtomicInteger();
    private final ExecutorService threads = HttpServers.createDaemonExecutor("upstream-stand-in");
    private final HttpServer server;
    private final Duration workTime;

    /** Starts a worker; port 0 selects any free port. */
    public UpstreamStandIn(String address, int port, Duration workTime) {
        this.workTime = workTime;
        server = HttpServers.bind(address, port);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
    }

    /** Returns the address at which it listens. */
    public NetworkAddress address() {
        return HttpServers.addressOf(server);
    }

    /** Returns the number of runs by request identifier. */
    public Map<String, AtomicInteger> runCounts() {
        return runCounts;
    }

    /** Returns the number of requests that are running now. */
    public int runningRequests() {
        return runningRequests.get();
    }

    /** Returns the maximum number of requests that ran at the same time. */
    public int maximumRunningRequests() {
        return maximumRunningRequests.get();
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        maximumRunningRequests.accumulateAndGet(runningRequests.incrementAndGet(), Math::max);
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Optional<String> request =
                    Optional.ofNullable(exchange.getRequestHeaders().getFirst(REQUEST_HEADER));
            request.ifPresent(identifier -> recordRun(exchange, identifier));
            simulateWork();
            exchange.sendResponseHeaders(OK, body.length == 0 ? -1 : body.length);
            exchange.getResponseBody().write(body);
        } finally {
            runningRequests.decrementAndGet();
        }
    }

    private void recordRun(HttpExchange exchange, String identifier) {
        runCounts.computeIfAbsent(identifier, key -> new AtomicInteger()).incrementAndGet();
        exchange.getResponseHeaders().set(RESPONSE_HEADER, identifier);
    }

    private void simulateWork() throws IOException {
        try {
            Thread.sleep(workTime.toMillis());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IOException(interrupted);
        }
    }
}
