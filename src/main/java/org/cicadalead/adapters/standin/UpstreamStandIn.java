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
 * A worker that answers each request with its own body after a time, and counts how often each request ran. Safe for
 * use by several threads.
 */
public final class UpstreamStandIn implements AutoCloseable {
    /** Header by which the stand-in tells requests apart. */
    public static final String REQUEST_HEADER = "Stand-In-Request";

    /** Header of the answer that repeats the request's. */
    public static final String ANSWER_HEADER = "Stand-In-Answer";

    private static final int OK = 200;

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger mostRunning = new AtomicInteger();
    private final ExecutorService threads = HttpServers.createDaemonExecutor("upstream-stand-in");
    private final HttpServer server;
    private final Duration workTime;

    /** Starts a worker; port 0 takes any free one. */
    public UpstreamStandIn(String address, int port, Duration workTime) {
        this.workTime = workTime;
        server = HttpServers.bind(address, port);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
    }

    /** Returns where it listens. */
    public NetworkAddress address() {
        return HttpServers.addressOf(server);
    }

    /** Returns how often each request ran here. */
    public Map<String, AtomicInteger> runs() {
        return runs;
    }

    /** Returns the number of requests that run here now. */
    public int running() {
        return running.get();
    }

    /** Returns the largest number of requests that ran here at once. */
    public int mostRunning() {
        return mostRunning.get();
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        mostRunning.accumulateAndGet(running.incrementAndGet(), Math::max);
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Optional<String> request =
                    Optional.ofNullable(exchange.getRequestHeaders().getFirst(REQUEST_HEADER));
            request.ifPresent(identifier -> countRun(exchange, identifier));
            pause();
            exchange.sendResponseHeaders(OK, body.length == 0 ? -1 : body.length);
            exchange.getResponseBody().write(body);
        } finally {
            running.decrementAndGet();
        }
    }

    private void countRun(HttpExchange exchange, String identifier) {
        runs.computeIfAbsent(identifier, unseen -> new AtomicInteger()).incrementAndGet();
        exchange.getResponseHeaders().set(ANSWER_HEADER, identifier);
    }

    private void pause() throws IOException {
        try {
            Thread.sleep(workTime.toMillis());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IOException(interrupted);
        }
    }
}
