package org.cicadalead.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import org.cicadalead.adapters.http.ExchangeGate;
import org.cicadalead.adapters.http.HttpServers;
import org.cicadalead.adapters.work.DecisionLog;
import org.cicadalead.adapters.work.JobRequestService;
import org.cicadalead.adapters.work.OpenRequests;
import org.cicadalead.adapters.work.OpenRequests.OpenRequest;
import org.cicadalead.adapters.work.OpenRequests.WaitingFor;
import org.cicadalead.adapters.work.OperatorFeed;
import org.cicadalead.adapters.work.RejectionReport;
import org.cicadalead.adapters.work.WorkMetrics;
import org.cicadalead.logic.work.JobAdmission;
import org.cicadalead.logic.work.account.AccountAdmission;
import org.cicadalead.logic.work.account.KeyDigests;
import org.cicadalead.logic.work.account.RejectionCause;
import org.cicadalead.logic.work.account.RequestAuthorization;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.work.ClientAccount;
import org.cicadalead.model.work.FleetPlan;
import org.cicadalead.model.work.JobAccess;
import org.cicadalead.model.work.KeyDigest;
import org.cicadalead.model.work.WorkQueue;
import org.cicadalead.model.work.WorkSubmission;
import org.cicadalead.ports.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Serves callers' requests that submit, query and cancel jobs. Every request that was read receives a response, also
 * while the process stops: its waits end with the drain, and the connections close only after its response. Safe for
 * use by several threads.
 */
final class JobServer implements AutoCloseable {
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int TOO_LARGE = 413;
    private static final int INTERNAL_ERROR = 500;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final String RETRY_AFTER_SECONDS = "1";

    /** Header that carries the key of an account. */
    private static final String KEY_HEADER = "X-Credential";

    /** Limit of bodies that are read before a configuration states one. */
    private static final long MAX_BODY_BYTES_WITHOUT_PLAN = 1 << 18;

    /** Limit of bodies whatever the configuration states, so that a few of them fit into the memory of a small host. */
    private static final long MAX_BODY_BYTES = 1 << 23;

    /** Timeout of a request when neither the caller nor the queue specifies one. */
    private static final long DEFAULT_TIMEOUT_MILLISECONDS = 3_000;

    /**
     * Time reserved for a response to reach its caller: twice the network latency between a caller and an entry host,
     * and one processing cycle of this process.
     */
    private static final long RESPONSE_TRANSIT_MILLISECONDS = 50;

    /** Minimum share of a short timeout that is used: a healthy store responds within a few milliseconds (a ratio). */
    private static final double MIN_SHARE_OF_TIMEOUT = 0.6;

    /** The part of a timeout that the lookup of a job to cancel may take (a divisor); the rest is for storing it. */
    private static final int LOOKUP_PART = 3;

    private final HttpServer server;
    private final JobRequestService jobService;
    private final OperatorFeed operatorFeed;
    private final TimerService timers;
    private final DecisionLog log;
    private final WorkMetrics metrics;
    private final RejectionReport rejections;
    private final OpenRequests openRequests;
    private final Executor executor;
    private final ExchangeGate gate;
    private volatile boolean draining;

    JobServer(
            PlatformSettings.SocketAddress address,
            ExecutorService executor,
            JobRequestService jobService,
            OperatorFeed operatorFeed,
            TimerService timers,
            DecisionLog log,
            WorkMetrics metrics) {
        this.metrics = metrics;
        this.openRequests = new OpenRequests(timers, log);
        this.rejections = new RejectionReport(timers, log, metrics);
        this.server = HttpServers.bind(address.ip(), address.port());
        this.executor = executor;
        this.gate = new ExchangeGate(executor);
        this.jobService = jobService;
        metrics.observeOpenJobs(jobService::estimateOpenJobsBytes);
        this.operatorFeed = operatorFeed;
        this.timers = timers;
        this.log = log;
        server.setExecutor(gate);
        server.createContext("/", this::handle);
        server.start();
    }

    /** Makes all further responses ask callers to use other connections, by closing the current ones. */
    void startDraining() {
        draining = true;
    }

    int inFlightRequests() {
        return openRequests.count();
    }

    /** Logs and counts the requests that are still open; call this after the connections are closed. */
    void reportUnanswered() {
        openRequests.reportUnanswered();
    }

    /** Reads no further request if none is open; returns whether none is. */
    boolean closeIfIdle() {
        return gate.closeIfIdle();
    }

    /** Reads no further request; those that are open are still answered. */
    void stopReading() {
        gate.close();
    }

    private void handle(HttpExchange exchange) throws IOException {
        gate.enter();
        OpenRequest request = openRequests.begin(exchange.getRequestMethod(), pathOf(exchange));
        CompletableFuture<Response> response;
        try {
            response = dispatch(exchange, request);
        } catch (IOException callerLeft) {
            end(request);
            throw callerLeft;
        } catch (RuntimeException | Error failure) {
            log.emit(EventKind.INTERNAL_FAILURE, EventDetail.of("request", failure.toString()));
            response = CompletableFuture.completedFuture(Response.of(INTERNAL_ERROR));
        }
        // On a thread of the server: a caller that takes no response must not hold up any other thread.
        if (response.isDone()) {
            response.whenComplete((result, failure) -> respond(exchange, request, result, failure));
        } else {
            response.whenCompleteAsync((result, failure) -> respond(exchange, request, result, failure), executor);
        }
    }

    private void respond(
            HttpExchange exchange, OpenRequest request, @Nullable Response result, @Nullable Throwable failure) {
        if (failure != null) {
            log.emit(EventKind.INTERNAL_FAILURE, EventDetail.of("request", failure.toString()));
        }
        Response completed = result == null ? Response.of(INTERNAL_ERROR) : result;
        try {
            request.waitFor(WaitingFor.CALLER);
            send(exchange, request, completed);
        } finally {
            end(request);
            metrics.recordCallerRequest(
                    exchange.getRequestMethod(),
                    completed.status(),
                    Duration.ofNanos(timers.nanoTime() - request.receivedAt()));
        }
    }

    private void end(OpenRequest request) {
        openRequests.end(request);
        gate.leave();
    }

    private static String pathOf(HttpExchange exchange) {
        return Optional.ofNullable(exchange.getRequestURI().getPath()).orElse("");
    }

    private CompletableFuture<Response> dispatch(HttpExchange exchange, OpenRequest request) throws IOException {
        Optional<FleetPlan> plan = operatorFeed.plan();
        int maximumBodyBytes = (int)
                Math.min(MAX_BODY_BYTES, plan.map(FleetPlan::maximumBodyBytes).orElse(MAX_BODY_BYTES_WITHOUT_PLAN));
        byte[] body = HttpServers.readBody(exchange, maximumBodyBytes);
        if (plan.isEmpty()) {
            return CompletableFuture.completedFuture(Response.RETRY_LATER);
        }
        if (body.length > maximumBodyBytes) {
            return CompletableFuture.completedFuture(Response.TOO_LARGE_BODY);
        }
        String path = exchange.getRequestURI().getPath();
        Optional<WorkQueue> queue = plan.get().findQueue(authorityOf(exchange), path);
        if (queue.isEmpty()) {
            boolean mayBeNew = plan.get().accounts().isPresent() && !operatorFeed.isCurrent();
            return CompletableFuture.completedFuture(mayBeNew ? Response.RETRY_LATER : Response.of(NOT_FOUND));
        }
        if (body.length > maximumBodyBytes) {
            return CompletableFuture.completedFuture(Response.TOO_LARGE_BODY);
        }
        RequestAuthorization.Decision decision = authorize(exchange, plan.get(), queue.get());
        if (decision.rejection().isPresent()) {
            return CompletableFuture.completedFuture(
                    toResponse(decision.rejection().get()));
        }
        String job = path.substring(queue.get().pathPrefix().length());
        request.waitFor(WaitingFor.LEADER);
        return switch (exchange.getRequestMethod()) {
            case "POST" -> {
                request.waitFor(WaitingFor.STORE);
                yield submit(job, queue.get(), decision, body, storeTimeoutOf(exchange, queue.get()));
            }
            case "GET" ->
                job.isEmpty()
                        ? queryWaitingCount(queue.get(), storeTimeoutOf(exchange, queue.get()))
                        : queryState(job, decision.access(), storeTimeoutOf(exchange, queue.get()));
            case "DELETE" -> cancel(job, decision.access(), storeTimeoutOf(exchange, queue.get()), request);
            default -> CompletableFuture.completedFuture(Response.of(METHOD_NOT_ALLOWED));
        };
    }

    private RequestAuthorization.Decision authorize(HttpExchange exchange, FleetPlan plan, WorkQueue queue) {
        Optional<KeyDigest> key = plan.accounts().isEmpty() ? Optional.empty() : keyOf(exchange);
        RequestAuthorization.Decision decision =
                RequestAuthorization.decide(plan, operatorFeed.isCurrent(), queue, key, operatorFeed.withdrawnKeys());
        decision.rejection().ifPresent(cause -> rejections.onRejected(cause, decision.accountName(), key, queue));
        return decision;
    }

    /** Returns the digest of the key of a request. Header values are read byte by byte, but keys are texts in UTF-8. */
    private static Optional<KeyDigest> keyOf(HttpExchange exchange) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(KEY_HEADER))
                .map(String::strip)
                .filter(value -> !value.isEmpty())
                .map(value -> KeyDigests.digest(
                        new String(value.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8)));
    }

    private static Response toResponse(RejectionCause cause) {
        return switch (cause) {
            case KEY_MISSING, KEY_UNKNOWN, KEY_WITHDRAWN -> Response.of(UNAUTHORIZED);
            case CONFIGURATION_OUTDATED -> Response.RETRY_LATER;
            case LIMIT_EXCEEDED -> Response.of(PlatformHttpClient.TOO_MANY_REQUESTS);
        };
    }

    /** Returns the caller's timeout less the time that the response needs to reach the caller. */
    private static Duration storeTimeoutOf(HttpExchange exchange, WorkQueue queue) {
        String header = Optional.ofNullable(exchange.getRequestHeaders().getFirst("X-Deadline-Ms"))
                .orElse("");
        long timeout = queue.timeoutMilliseconds() > 0 ? queue.timeoutMilliseconds() : DEFAULT_TIMEOUT_MILLISECONDS;
        try {
            timeout = header.isEmpty() ? timeout : Math.min(timeout, Long.parseLong(header.strip()));
        } catch (NumberFormatException malformed) {
            // The queue's timeout applies.
        }
        return Duration.ofMillis(
                Math.max(Math.round(timeout * MIN_SHARE_OF_TIMEOUT), timeout - RESPONSE_TRANSIT_MILLISECONDS));
    }

    private static String authorityOf(HttpExchange exchange) {
        String authority = Optional.ofNullable(exchange.getRequestHeaders().getFirst("Host"))
                .orElse("")
                .toLowerCase(Locale.ROOT);
        int colon = authority.indexOf(':');
        return colon < 0 ? authority : authority.substring(0, colon);
    }

    private CompletableFuture<Response> submit(
            String job, WorkQueue queue, RequestAuthorization.Decision decision, byte[] body, Duration storeTimeout) {
        Optional<WorkSubmission> submission = job.isEmpty()
                ? Optional.empty()
                : JobBodyReader.read(job, queue, decision.accountName(), body, timers.wallClockMilliseconds());
        if (submission.isEmpty()) {
            return CompletableFuture.completedFuture(Response.of(PlatformHttpClient.BAD_REQUEST));
        }
        if (!JobAdmission.canEverFit(submission.get())) {
            return rejectTooLargeJob(submission.get());
        }
        Optional<ClientAccount> account = decision.account();
        if (account.isPresent()
                && !AccountAdmission.canEverRun(
                        account.get().limit(), submission.get().steps())) {
            return rejectJobBeyondLimit(submission.get(), decision, queue);
        }
        return jobService.submit(submission.get(), storeTimeout).thenApply(JobServer::toResponse);
    }

    /** Rejects a job that can never fit, unless the leader knows it as one that earlier code has accepted. */
    private CompletableFuture<Response> rejectTooLargeJob(WorkSubmission submission) {
        return jobService
                .findStored(submission.job())
                .thenApply(
                        isStored -> isStored ? Response.of(PlatformHttpClient.OK) : Response.tooLargeJob(submission));
    }

    /** Rejects a job that can never run within its account's limit, unless it was accepted under an earlier limit. */
    private CompletableFuture<Response> rejectJobBeyondLimit(
            WorkSubmission submission, RequestAuthorization.Decision decision, WorkQueue queue) {
        return jobService.findStored(submission.job(), decision.access()).thenApply(isStored -> {
            if (isStored) {
                return Response.of(PlatformHttpClient.OK);
            }
            rejections.onRejected(RejectionCause.LIMIT_EXCEEDED, decision.accountName(), Optional.empty(), queue);
            return toResponse(RejectionCause.LIMIT_EXCEEDED);
        });
    }

    private static Response toResponse(JobRequestService.StoreOutcome reply) {
        return switch (reply) {
            case STORED -> Response.of(PlatformHttpClient.OK);
            case REFUSED -> Response.RETRY_LATER;
            case UNCERTAIN -> Response.of(GATEWAY_TIMEOUT);
        };
    }

    private CompletableFuture<Response> queryState(String job, JobAccess access, Duration timeout) {
        return jobService.findPhase(job, access, timeout).thenApply(lookup -> {
            if (!lookup.known()) {
                return Response.RETRY_LATER;
            }
            return lookup.phase()
                    .map(phase -> Response.json(PlatformHttpClient.JSON
                            .createObjectNode()
                            .put("state", phase.name().toLowerCase(Locale.ROOT))))
                    .orElse(Response.of(PlatformHttpClient.GONE));
        });
    }

    private CompletableFuture<Response> cancel(String job, JobAccess access, Duration timeout, OpenRequest request) {
        long receivedAt = timers.nanoTime();
        return jobService.findPhase(job, access, timeout.dividedBy(LOOKUP_PART)).thenCompose(lookup -> {
            request.waitFor(WaitingFor.STORE);
            boolean isUnknown = lookup.known() && lookup.phase().isEmpty();
            Duration storeTimeout = timeout.minusNanos(timers.nanoTime() - receivedAt);
            return isUnknown
                    ? CompletableFuture.completedFuture(Response.of(PlatformHttpClient.GONE))
                    : jobService.cancel(job, access, storeTimeout).thenApply(JobServer::toResponse);
        });
    }

    private CompletableFuture<Response> queryWaitingCount(WorkQueue queue, Duration timeout) {
        return jobService.waitingCount(queue.name(), timeout).thenApply(count -> count.map(waitingCount ->
                        Response.json(PlatformHttpClient.JSON.createObjectNode().put("waitingCount", waitingCount)))
                .orElse(Response.RETRY_LATER));
    }

    private void send(HttpExchange exchange, OpenRequest request, Response response) {
        try (exchange) {
            byte[] body = response.body().getBytes(StandardCharsets.UTF_8);
            if (body.length > 0) {
                exchange.getResponseHeaders().set("Content-Type", "application/json");
            }
            if (response.retryLater()) {
                exchange.getResponseHeaders().set("Retry-After", RETRY_AFTER_SECONDS);
            }
            if (draining) {
                exchange.getResponseHeaders().set("Connection", "close");
            }
            exchange.sendResponseHeaders(response.status(), body.length == 0 ? -1 : body.length);
            exchange.getResponseBody().write(body);
            request.onAnswered();
            if (response.status() == TOO_LARGE) {
                exchange.getResponseBody().flush();
                HttpServers.discardRestOfBody(exchange);
            }
        } catch (IOException connectionLost) {
            openRequests.onResponseLost(request);
            log.emit(
                    EventKind.REQUEST_ANSWER_CUT,
                    EventDetail.of("path", exchange.getRequestURI().getPath()),
                    EventDetail.of("status", response.status()));
        }
    }

    /** Closes all connections; those of requests that are open are cut off. */
    @Override
    public void close() {
        gate.close();
        openRequests.onConnectionsClosing();
        server.stop(0);
    }

    private record Response(int status, String body, boolean retryLater) {
        /** Has a body, as the connection of a response without one is closed before the request's rest is read. */
        static final Response TOO_LARGE_BODY = new Response(TOO_LARGE, "{}", false);

        static final Response RETRY_LATER = new Response(PlatformHttpClient.SERVICE_UNAVAILABLE, "", true);

        static Response of(int status) {
            return new Response(status, "", false);
        }

        /** Names the limits in full, as the caller can only hand in another job. */
        static Response tooLargeJob(WorkSubmission submission) {
            ObjectNode body = PlatformHttpClient.JSON
                    .createObjectNode()
                    .put("error", "The job exceeds a limit and is not accepted")
                    .put("jobBytes", JobAdmission.weigh(submission))
                    .put("maximumJobBytes", JobAdmission.MAX_JOB_BYTES)
                    .put("maximumTasksPerStep", JobAdmission.MAX_TASKS_PER_STEP);
            return new Response(TOO_LARGE, body.toString(), false);
        }

        static Response json(ObjectNode body) {
            return new Response(PlatformHttpClient.OK, body.toString(), false);
        }
    }
}
