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
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import org.cicadalead.adapters.http.HttpServers;
import org.cicadalead.adapters.work.DecisionLog;
import org.cicadalead.adapters.work.JobRequestService;
import org.cicadalead.adapters.work.OperatorFeed;
import org.cicadalead.adapters.work.WorkMetrics;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.work.FleetPlan;
import org.cicadalead.model.work.WorkQueue;
import org.cicadalead.model.work.WorkSubmission;
import org.cicadalead.ports.TimerService;

/**
 * Takes callers' requests on jobs. Every request that was read is answered, also while the process ends. Safe for use
 * by several threads.
 */
final class JobServer implements AutoCloseable {
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int TOO_LARGE = 413;
    private static final int INTERNAL_ERROR = 500;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final String RETRY_AFTER_SECONDS = "1";

    /** Wait for a caller who names none, on a queue that names none. */
    private static final long DEFAULT_PATIENCE_MILLISECONDS = 3_000;

    /** Time for an answer to reach its caller: twice the way between a caller and an entry host, and a round here. */
    private static final long ANSWER_WAY_MILLISECONDS = 50;

    /** Share of a short patience that is used: a store that is well answers within a few milliseconds (a ratio). */
    private static final double LEAST_SHARE_OF_PATIENCE = 0.6;

    private final HttpServer server;
    private final JobRequestService desk;
    private final OperatorFeed operator;
    private final TimerService timers;
    private final DecisionLog log;
    private final WorkMetrics metrics;
    private final AtomicInteger inFlight = new AtomicInteger();
    private volatile boolean stopping;

    JobServer(
            PlatformSettings.SocketAddress address,
            ExecutorService executor,
            JobRequestService desk,
            OperatorFeed operator,
            TimerService timers,
            DecisionLog log,
            WorkMetrics metrics) {
        this.metrics = metrics;
        this.server = HttpServers.bind(address.ip(), address.port());
        this.desk = desk;
        this.operator = operator;
        this.timers = timers;
        this.log = log;
        server.setExecutor(executor);
        server.createContext("/", this::handle);
        server.start();
    }

    /** From now on, asks callers to use other connections. */
    void beginStopping() {
        stopping = true;
    }

    int inFlight() {
        return inFlight.get();
    }

    private void handle(HttpExchange exchange) throws IOException {
        inFlight.incrementAndGet();
        long receivedAt = timers.nanoTime();
        CompletableFuture<Answer> answer;
        try {
            answer = answer(exchange);
        } catch (RuntimeException failure) {
            log.emit(EventKind.INTERNAL_FAILURE, EventDetail.of("request", failure.toString()));
            answer = CompletableFuture.completedFuture(Answer.of(INTERNAL_ERROR));
        }
        answer.whenComplete((given, failure) -> {
            Answer whole = failure == null ? given : Answer.of(INTERNAL_ERROR);
            try {
                send(exchange, whole);
            } finally {
                inFlight.decrementAndGet();
                metrics.recordCallerRequest(
                        exchange.getRequestMethod(), whole.status(), Duration.ofNanos(timers.nanoTime() - receivedAt));
            }
        });
    }

    private CompletableFuture<Answer> answer(HttpExchange exchange) throws IOException {
        Optional<FleetPlan> plan = operator.plan();
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (plan.isEmpty()) {
            return CompletableFuture.completedFuture(Answer.RETRY_LATER);
        }
        String path = exchange.getRequestURI().getPath();
        Optional<WorkQueue> queue = plan.get().findQueue(authorityOf(exchange), path);
        if (queue.isEmpty()) {
            return CompletableFuture.completedFuture(Answer.of(NOT_FOUND));
        }
        if (body.length > plan.get().maximumBodyBytes()) {
            return CompletableFuture.completedFuture(Answer.of(TOO_LARGE));
        }
        String job = path.substring(queue.get().pathPrefix().length());
        return switch (exchange.getRequestMethod()) {
            case "POST" -> submit(job, queue.get(), body, patienceOf(exchange, queue.get()));
            case "GET" -> job.isEmpty() ? waiting(queue.get()) : state(job);
            case "DELETE" -> cancel(job, patienceOf(exchange, queue.get()));
            default -> CompletableFuture.completedFuture(Answer.of(METHOD_NOT_ALLOWED));
        };
    }

    /** Returns how long the caller waits for an answer, less the way of the answer. */
    private static Duration patienceOf(HttpExchange exchange, WorkQueue queue) {
        String header = Optional.ofNullable(exchange.getRequestHeaders().getFirst("X-Deadline-Ms"))
                .orElse("");
        long limit = queue.timeoutMilliseconds() > 0 ? queue.timeoutMilliseconds() : DEFAULT_PATIENCE_MILLISECONDS;
        try {
            limit = header.isEmpty() ? limit : Math.min(limit, Long.parseLong(header.strip()));
        } catch (NumberFormatException malformed) {
            // The queue's own limit holds.
        }
        return Duration.ofMillis(
                Math.max(Math.round(limit * LEAST_SHARE_OF_PATIENCE), limit - ANSWER_WAY_MILLISECONDS));
    }

    private static String authorityOf(HttpExchange exchange) {
        String authority = Optional.ofNullable(exchange.getRequestHeaders().getFirst("Host"))
                .orElse("")
                .toLowerCase(Locale.ROOT);
        int colon = authority.indexOf(':');
        return colon < 0 ? authority : authority.substring(0, colon);
    }

    private CompletableFuture<Answer> submit(String job, WorkQueue queue, byte[] body, Duration patience) {
        Optional<WorkSubmission> submission =
                job.isEmpty() ? Optional.empty() : JobBodies.read(job, queue, body, timers.wallClockMilliseconds());
        if (submission.isEmpty()) {
            return CompletableFuture.completedFuture(Answer.of(HttpCalls.BAD_REQUEST));
        }
        return desk.submit(submission.get(), patience).thenApply(JobServer::stored);
    }

    private static Answer stored(JobRequestService.StoreOutcome answer) {
        return switch (answer) {
            case STORED -> Answer.of(HttpCalls.OK);
            case REFUSED -> Answer.RETRY_LATER;
            case UNCERTAIN -> Answer.of(GATEWAY_TIMEOUT);
        };
    }

    private CompletableFuture<Answer> state(String job) {
        return desk.phaseOf(job).thenApply(found -> {
            if (!found.known()) {
                return Answer.RETRY_LATER;
            }
            return found.phase()
                    .map(phase -> Answer.json(HttpCalls.JSON
                            .createObjectNode()
                            .put("state", phase.name().toLowerCase(Locale.ROOT))))
                    .orElse(Answer.of(HttpCalls.GONE));
        });
    }

    private CompletableFuture<Answer> cancel(String job, Duration patience) {
        return desk.phaseOf(job).thenCompose(found -> {
            boolean unknown = found.known() && found.phase().isEmpty();
            return unknown
                    ? CompletableFuture.completedFuture(Answer.of(HttpCalls.GONE))
                    : desk.cancel(job, patience).thenApply(JobServer::stored);
        });
    }

    private CompletableFuture<Answer> waiting(WorkQueue queue) {
        return desk.waitingCount(queue.name()).thenApply(count -> count.map(
                        number -> Answer.json(HttpCalls.JSON.createObjectNode().put("waitingCount", number)))
                .orElse(Answer.RETRY_LATER));
    }

    private void send(HttpExchange exchange, Answer answer) {
        try (exchange) {
            byte[] body = answer.body().getBytes(StandardCharsets.UTF_8);
            if (body.length > 0) {
                exchange.getResponseHeaders().set("Content-Type", "application/json");
            }
            if (answer.retryLater()) {
                exchange.getResponseHeaders().set("Retry-After", RETRY_AFTER_SECONDS);
            }
            if (stopping) {
                exchange.getResponseHeaders().set("Connection", "close");
            }
            exchange.sendResponseHeaders(answer.status(), body.length == 0 ? -1 : body.length);
            exchange.getResponseBody().write(body);
        } catch (IOException gone) {
            log.emit(
                    EventKind.REQUEST_ANSWER_CUT,
                    EventDetail.of("path", exchange.getRequestURI().getPath()),
                    EventDetail.of("status", answer.status()));
        }
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private record Answer(int status, String body, boolean retryLater) {
        static final Answer RETRY_LATER = new Answer(HttpCalls.UNAVAILABLE, "", true);

        static Answer of(int status) {
            return new Answer(status, "", false);
        }

        static Answer json(ObjectNode body) {
            return new Answer(HttpCalls.OK, body.toString(), false);
        }
    }
}
