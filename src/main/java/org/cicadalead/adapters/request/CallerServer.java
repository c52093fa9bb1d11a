package org.cicadalead.adapters.request;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.cicadalead.adapters.http.HttpServers;
import org.cicadalead.logic.request.RoutingIndex;
import org.cicadalead.logic.request.ServiceRoute;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.RequestIdentifier;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.request.RequestLimits;
import org.cicadalead.model.request.RequestTerms;
import org.cicadalead.model.settings.EntrySettings;
import org.cicadalead.ports.PlacementControl;
import org.cicadalead.ports.TimerService;

/**
 * Receives callers' requests over HTTP/1.1, admits them, and passes them to the request pipeline. Safe for use by
 * several threads.
 */
public final class CallerServer implements AutoCloseable {
    private static final int RETRY_AFTER_SECONDS = 1;
    private static final Duration KEY_TICK_PERIOD = Duration.ofMillis(100);
    private static final Duration STOP_TIMEOUT = Duration.ofHours(1);

    private final RequestPorts ports;
    private final RequestLimits limits;
    private final RequestReader reader;
    private final RequestMetrics metrics;
    private final RequestPipeline pipeline;
    private final Optional<KeyedRequests> keyedRequests;
    private final TimerService.Subscription keyedTicks;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicLong bufferedBytes = new AtomicLong();
    private final ExecutorService threads = HttpServers.createDaemonExecutor("caller");
    private final HttpServer server;
    private volatile boolean closing;
    private volatile boolean rejecting;

    /** Starts a server that routes requests by the newest shared state. */
    public CallerServer(EntrySettings settings, RequestLimits limits, RequestPorts ports) {
        this.ports = ports;
        this.limits = limits;
        this.reader = new RequestReader(limits);
        this.metrics = new RequestMetrics(ports.metrics());
        this.pipeline = new RequestPipeline(ports, limits, settings.zone(), metrics, threads);
        this.keyedRequests = ports.peers().map(peers -> new KeyedRequests(ports, peers));
        this.keyedTicks = ports.timers().every(KEY_TICK_PERIOD, () -> keyedRequests.ifPresent(KeyedRequests::onTick));
        this.server = HttpServers.bind(
                settings.callerAddress().address(), settings.callerAddress().port());
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
    }

    /** Returns the address on which the server listens. */
    public NetworkAddress address() {
        return HttpServers.addressOf(server);
    }

    /** Returns the number of requests that have no complete response yet. */
    public int inFlight() {
        return inFlight.get();
    }

    /** Adds a handler for the requests under a path. */
    public void addContext(String contextPath, HttpHandler handler) {
        server.createContext(contextPath, handler);
    }

    /** Returns the control of the requests that are placed on each host. */
    public PlacementControl placements() {
        return pipeline;
    }

    /** Returns whether requests from this process to a host fail, so that the host is ejected. */
    public boolean isFailing(HostName host) {
        return pipeline.isFailing(host);
    }

    /** Returns the number of requests of a service that wait in this process. */
    public int countWaiting(ServiceName service) {
        return pipeline.countWaiting(service);
    }

    /**
     * Makes callers use another connection for their next request, while the load balancer is learning that this
     * process stops.
     */
    public void closeConnectionsAfterResponses() {
        closing = true;
    }

    /**
     * Stops accepting connections. Requests that still arrive on open connections are rejected as not run; requests in
     * flight continue.
     */
    public void stopAccepting() {
        closing = true;
        rejecting = true;
        pipeline.stopSlotExchange();
        // The server closes its listening socket immediately and then waits; close() ends the wait.
        threads.execute(() -> server.stop((int) STOP_TIMEOUT.toSeconds()));
    }

    /** Returns whether it has slots for requests, or has waited long enough for them. */
    public boolean isReady() {
        return pipeline.isReady();
    }

    /** Returns whether no slot is lent to, or borrowed from, another process. */
    public boolean hasNoLoans() {
        return pipeline.hasNoLoans();
    }

    /**
     * Announces to the other processes that this one places no more requests. Must be called before this process leaves
     * the membership.
     */
    public void announceIdle() {
        pipeline.announceIdle();
    }

    @Override
    public void close() {
        server.stop(0);
        pipeline.close();
        keyedTicks.close();
        threads.shutdownNow();
    }

    private void handle(HttpExchange httpExchange) {
        inFlight.incrementAndGet();
        RequestIdentifier identifier = new RequestIdentifier(UUID.randomUUID().toString());
        CallerExchange exchange =
                new CallerExchange(httpExchange, identifier, ports.timers(), inFlight::decrementAndGet);
        exchange.applyConnectionHeader();
        if (closing) {
            exchange.closeConnectionAfterResponse();
        }
        try {
            admit(identifier, exchange);
        } catch (CicadaleadException rejection) {
            reject(identifier, exchange, rejection);
        } catch (RuntimeException unexpected) {
            ports.events()
                    .emit(
                            EventKind.INTERNAL_FAILURE,
                            Optional.of(identifier.value()),
                            EventDetail.of("failure", unexpected));
            exchange.reject(ErrorKind.INTERNAL, unexpected.toString(), RETRY_AFTER_SECONDS);
        }
    }

    private void admit(RequestIdentifier identifier, CallerExchange exchange) {
        if (rejecting) {
            throw new CicadaleadException(ErrorKind.SHUTTING_DOWN, "Send the request through another entry host");
        }
        RequestHead head = reader.readHead(exchange.httpExchange());
        if (head.bodyLength() == 0) {
            exchange.markBodyRead();
        }
        RoutingIndex index = pipeline.refreshIndex();
        ServiceRoute route = reader.findRoute(head, index);
        RequestTerms terms = reader.readTerms(
                identifier, head, route.service(), index, ports.timers().nanoTime());
        RequestBody body = readBody(exchange, head);
        if (body.isFullyBuffered()) {
            exchange.markBodyRead();
        }
        bufferedBytes.addAndGet(body.bufferedBytes().length);
        exchange.onClosed(() -> bufferedBytes.addAndGet(-body.bufferedBytes().length));
        if (head.idempotencyKey().isPresent()) {
            claim(new CallerRequest(terms, head, body, exchange, ResponseListener.NONE), route);
        } else {
            submit(new CallerRequest(terms, head, body, exchange, ResponseListener.NONE), route);
        }
    }

    private void submit(CallerRequest request, ServiceRoute route) {
        request.exchange().onClosed(() -> pipeline.remove(request));
        pipeline.submit(request, route);
    }

    /**
     * Claims the run of a request with an idempotency key. The request runs only if the home of the key grants the
     * claim.
     */
    private void claim(CallerRequest request, ServiceRoute route) {
        if (keyedRequests.isEmpty()) {
            throw new CicadaleadException(
                    ErrorKind.KEY_HISTORY_UNKNOWN, "This process knows no others that may have seen the key");
        }
        if (!request.body().isFullyBuffered()) {
            throw new CicadaleadException(
                    ErrorKind.BODY_TOO_LARGE,
                    "With an Idempotency-Key a body may have " + limits.bufferedBodyBytes() + " bytes");
        }
        ServiceName service = route.service().name();
        keyedRequests
                .get()
                .claim(service, request.head(), request.body())
                .thenAccept(claim -> threads.execute(() -> onClaimed(request, route, claim)));
    }

    private void onClaimed(CallerRequest request, ServiceRoute route, KeyedRequests.Claim claim) {
        String detail = "Resend it with the same key to learn more; it is run at most once";
        switch (claim.reply().verdict()) {
            case GRANTED ->
                submit(request.withListener(keyedRequests.orElseThrow().listenerFor(claim)), route);
            case ANSWERED ->
                pipeline.replayResponse(request, claim.reply().answer().orElseThrow());
            case ANSWERED_WITHOUT_COPY -> pipeline.reject(request, ErrorKind.ALREADY_RAN, detail);
            case IN_PROGRESS -> pipeline.reject(request, ErrorKind.KEY_IN_PROGRESS, detail);
            case REUSED -> pipeline.reject(request, ErrorKind.KEY_REUSED, "Use a new key for a new request");
            case FULL -> pipeline.reject(request, ErrorKind.QUEUE_FULL, "Too many idempotency keys are remembered");
            default -> pipeline.reject(request, ErrorKind.KEY_HISTORY_UNKNOWN, detail);
        }
    }

    /**
     * Reads the body. Once the limit of buffered bytes is reached, a body stays with its caller until a worker reads
     * it.
     */
    private RequestBody readBody(CallerExchange exchange, RequestHead head) {
        int maxBuffered = bufferedBytes.get() < limits.bufferedBytes() ? limits.bufferedBodyBytes() : 0;
        return RequestBody.read(
                exchange.httpExchange().getRequestBody(), head.bodyLength(), maxBuffered, limits.bodyBytes());
    }

    private void reject(RequestIdentifier identifier, CallerExchange exchange, CicadaleadException rejection) {
        ports.events()
                .emit(
                        EventKind.REQUEST_REFUSED,
                        Optional.of(identifier.value()),
                        EventDetail.of("kind", rejection.kind().code()));
        metrics.recordFailure(rejection.kind());
        exchange.reject(rejection.kind(), rejection.getMessage(), RETRY_AFTER_SECONDS);
    }
}
