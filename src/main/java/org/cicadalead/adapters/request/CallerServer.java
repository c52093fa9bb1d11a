package org.cicadalead.adapters.request;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.cicadalead.adapters.http.HttpServers;
import org.cicadalead.adapters.http.JsonExchange;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.error.Execution;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.settings.EntrySettings;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.EventSink;
import org.cicadalead.ports.PlacementControl;

/** Takes callers' requests and forwards each to one upstream. Safe for use by several threads. */
public final class CallerServer implements AutoCloseable {
    private static final String SERVICES_PATH = "/services/";
    private static final Set<String> HOP_BY_HOP_HEADERS = Set.of(
            "connection",
            "content-length",
            "expect",
            "host",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private final Supplier<SharedState> state;
    private final EventSink events;
    private final UpstreamSelector selector;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final ExecutorService threads = HttpServers.daemonThreads("caller");
    private final HttpServer server;
    private final HttpClient client;

    /** Starts a server that routes by the newest shared state. */
    public CallerServer(EntrySettings settings, Supplier<SharedState> state, EventSink events) {
        this.state = state;
        this.events = events;
        this.selector = new UpstreamSelector(settings.zone());
        this.server = HttpServers.bind(
                settings.callerAddress().address(), settings.callerAddress().port());
        this.client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        server.setExecutor(threads);
        server.createContext("/", JsonExchange.guarded(this::handle));
        server.start();
    }

    /** Returns where callers reach it. */
    public NetworkAddress address() {
        return HttpServers.addressOf(server);
    }

    /** Returns the number of requests that are not answered yet. */
    public int inFlight() {
        return inFlight.get();
    }

    /** Adds a handler that answers by itself under a path. */
    public void addContext(String path, HttpHandler handler) {
        server.createContext(path, handler);
    }

    /** Returns what this server has placed on hosts. */
    public PlacementControl placements() {
        return selector;
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        inFlight.incrementAndGet();
        try {
            forward(exchange);
            events.emit(EventKind.REQUEST_ANSWERED, Optional.empty());
        } catch (CicadaleadException failure) {
            events.emit(
                    failure.kind().execution() == Execution.NOT_RUN
                            ? EventKind.REQUEST_REFUSED
                            : EventKind.REQUEST_OUTCOME_UNKNOWN,
                    Optional.empty(),
                    EventDetail.of("kind", failure.kind().code()));
            throw failure;
        } finally {
            inFlight.decrementAndGet();
        }
    }

    private void forward(HttpExchange exchange) throws IOException {
        SharedState current = state.get();
        ServiceDefinition service =
                findService(current, exchange.getRequestURI().getPath());
        byte[] body = exchange.getRequestBody().readAllBytes();
        HostDefinition host = selector.acquire(current, service)
                .orElseThrow(() -> new CicadaleadException(
                        ErrorKind.NO_UPSTREAM, "No host of the pool '" + service.pool() + "' has a free slot"));
        try {
            HttpResponse<byte[]> response = send(exchange, service, host, body);
            answer(exchange, response);
        } finally {
            selector.release(host.name());
        }
    }

    private static ServiceDefinition findService(SharedState state, String path) {
        if (state.configuration().version() == 0) {
            throw new CicadaleadException(ErrorKind.NOT_READY, "No configuration has been published yet");
        }
        if (!path.startsWith(SERVICES_PATH)) {
            throw new CicadaleadException(ErrorKind.UNKNOWN_RESOURCE, "Use /services/NAME/...");
        }
        String name = path.substring(SERVICES_PATH.length()).split("/", 2)[0];
        try {
            return Optional.ofNullable(state.configuration().merged().services().get(new ServiceName(name)))
                    .orElseThrow(() ->
                            new CicadaleadException(ErrorKind.UNKNOWN_SERVICE, "There is no service '" + name + "'"));
        } catch (IllegalArgumentException invalidName) {
            throw new CicadaleadException(ErrorKind.UNKNOWN_SERVICE, "There is no service '" + name + "'", invalidName);
        }
    }

    private HttpResponse<byte[]> send(
            HttpExchange exchange, ServiceDefinition service, HostDefinition host, byte[] body) {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://" + host.address() + exchange.getRequestURI()))
                .timeout(service.timeout())
                .method(exchange.getRequestMethod(), HttpRequest.BodyPublishers.ofByteArray(body));
        copyHeaders(exchange.getRequestHeaders(), request);
        try {
            return client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
        } catch (ConnectException failure) {
            throw new CicadaleadException(ErrorKind.NO_UPSTREAM, "The host '" + host.name() + "' is down", failure);
        } catch (HttpTimeoutException failure) {
            throw new CicadaleadException(ErrorKind.UPSTREAM_TIMEOUT, "No answer in " + service.timeout(), failure);
        } catch (IOException failure) {
            throw new CicadaleadException(ErrorKind.OUTCOME_UNKNOWN, "The answer was lost", failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new CicadaleadException(ErrorKind.OUTCOME_UNKNOWN, "Interrupted", interrupted);
        }
    }

    private static void copyHeaders(Headers headers, HttpRequest.Builder request) {
        headers.forEach((name, values) -> {
            if (!HOP_BY_HOP_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
                values.forEach(value -> request.header(name, value));
            }
        });
    }

    private static void answer(HttpExchange exchange, HttpResponse<byte[]> response) throws IOException {
        response.headers().map().forEach((name, values) -> {
            if (!HOP_BY_HOP_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
                values.forEach(value -> exchange.getResponseHeaders().add(name, value));
            }
        });
        byte[] body = response.body();
        exchange.sendResponseHeaders(response.statusCode(), body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            exchange.getResponseBody().write(body);
        }
    }
}
