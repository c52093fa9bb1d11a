package org.cicadalead.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.cicadalead.model.work.ActiveRun;
import org.cicadalead.model.work.EndedRun;
import org.cicadalead.model.work.HostListing;
import org.cicadalead.model.work.RunEnding;
import org.cicadalead.model.work.RunKey;
import org.cicadalead.model.work.StartOutcome;
import org.cicadalead.model.work.TaskKey;
import org.cicadalead.ports.HostOrders;

/** Orders to the platform's workers. Safe for use by several threads. */
final class HostClient implements HostOrders {
    /** Longest wait for an order: answers take a few milliseconds, so this is a lost one. */
    private static final Duration ORDER_LIMIT = Duration.ofMillis(600);

    /** Longest wait for a look beyond the time for which the host was asked to wait. */
    private static final Duration LOOK_LIMIT = Duration.ofMillis(700);

    private static final String EXPECTED_INSTANCE = "X-Expected-Instance";
    private static final int ACTIVE_FIELDS = 4;
    private static final int ENDED_FIELDS = 5;

    private final HttpCalls calls;

    HostClient(HttpCalls calls) {
        this.calls = calls;
    }

    @Override
    public CompletableFuture<StartOutcome> start(StartOrder order) {
        ObjectNode body = run(order.run());
        body.put("spec", order.payload());
        body.put("deadlineMs", order.deadline());
        body.put("fencingToken", order.target().epoch());
        if (!order.checkpoint().isEmpty()) {
            body.put("checkpoint", order.checkpoint());
        }
        order.ticket().ifPresent(ticket -> body.put("ticket", ticket));
        return post(order.target(), "/v1/run-start", body, ORDER_LIMIT)
                .thenApply(reply -> reply.map(HostClient::startOutcome).orElse(StartOutcome.UNKNOWN));
    }

    private static StartOutcome startOutcome(HttpCalls.Reply reply) {
        return switch (reply.status()) {
            case HttpCalls.OK -> StartOutcome.STARTED;
            case HttpCalls.CONFLICT -> refusal(reply.json().path("reason").asText());
            case HttpCalls.BAD_REQUEST -> StartOutcome.INVALID;
            case HttpCalls.MISDIRECTED -> StartOutcome.OTHER_HOST;
            case HttpCalls.NOT_SENT, HttpCalls.TOO_MANY, HttpCalls.UNAVAILABLE -> StartOutcome.UNHEALTHY;
            default -> StartOutcome.UNKNOWN;
        };
    }

    private static StartOutcome refusal(String reason) {
        return switch (reason) {
            case "fence" -> StartOutcome.FENCED;
            case "old" -> StartOutcome.SUPERSEDED;
            case "late" -> StartOutcome.EXPIRED;
            case "room" -> StartOutcome.NO_ROOM;
            case "ticket" -> StartOutcome.NO_TICKET;
            default -> StartOutcome.UNKNOWN;
        };
    }

    @Override
    public CompletableFuture<OrderOutcome> stop(Target target, RunKey run) {
        ObjectNode body = run(run);
        body.put("fencingToken", target.epoch());
        return post(target, "/v1/run-stop", body, ORDER_LIMIT).thenApply(HostClient::orderOutcome);
    }

    @Override
    public CompletableFuture<OrderOutcome> pace(Target target, RunKey run, int percentage) {
        ObjectNode body = run(run);
        body.put("percentage", percentage);
        body.put("fencingToken", target.epoch());
        return post(target, "/v1/pace", body, ORDER_LIMIT).thenApply(HostClient::orderOutcome);
    }

    @Override
    public CompletableFuture<PollResult> poll(Target target, OptionalLong deadline, long acknowledged, Duration wait) {
        ObjectNode body = HttpCalls.JSON.createObjectNode();
        deadline.ifPresent(end -> body.put("deadlineMs", end));
        body.put("fencingToken", target.epoch());
        body.put("ackPosition", acknowledged);
        if (!wait.isZero()) {
            body.put("waitMs", wait.toMillis());
        }
        return post(target, "/v1/hold", body, LOOK_LIMIT.plus(wait)).thenApply(reply -> {
            OrderOutcome outcome = orderOutcome(reply);
            return new PollResult(
                    outcome,
                    outcome == OrderOutcome.CONFIRMED
                            ? reply.map(HttpCalls.Reply::json).map(HostClient::listing)
                            : Optional.empty());
        });
    }

    private static OrderOutcome orderOutcome(Optional<HttpCalls.Reply> reply) {
        if (reply.isEmpty()) {
            return OrderOutcome.UNKNOWN;
        }
        return switch (reply.get().status()) {
            case HttpCalls.OK -> OrderOutcome.CONFIRMED;
            case HttpCalls.MISDIRECTED -> OrderOutcome.OTHER_HOST;
            case HttpCalls.CONFLICT ->
                "fence".equals(reply.get().json().path("reason").asText()) ? OrderOutcome.FENCED : OrderOutcome.UNKNOWN;
            default -> OrderOutcome.UNKNOWN;
        };
    }

    private static HostListing listing(JsonNode body) {
        List<ActiveRun> active = new ArrayList<>();
        for (JsonNode row : body.path("active")) {
            if (row.size() >= ACTIVE_FIELDS) {
                TaskKey.parse(row.get(0).asText())
                        .ifPresent(task -> active.add(new ActiveRun(
                                new RunKey(task, row.get(1).asLong()),
                                row.get(2).asText(""),
                                row.get(3).asInt(),
                                row.path(4).asLong())));
            }
        }
        List<EndedRun> ended = new ArrayList<>();
        for (JsonNode row : body.path("ended")) {
            if (row.size() >= ENDED_FIELDS) {
                TaskKey.parse(row.get(1).asText())
                        .ifPresent(task -> ended.add(new EndedRun(
                                row.get(0).asLong(),
                                new RunKey(task, row.get(2).asLong()),
                                RunEnding.valueOf(row.get(3).asText().toUpperCase(Locale.ROOT)),
                                row.get(4).asText(""))));
            }
        }
        return new HostListing(body.path("born").asLong(), body.path("clockMs").asLong(), active, ended);
    }

    private static ObjectNode run(RunKey run) {
        ObjectNode body = HttpCalls.JSON.createObjectNode();
        body.put("task", run.task().toString());
        body.put("attempt", run.attempt());
        return body;
    }

    private CompletableFuture<Optional<HttpCalls.Reply>> post(
            Target target, String path, ObjectNode body, Duration limit) {
        return calls.post(
                target.address(),
                path,
                body,
                Map.of("Content-Type", "application/json", EXPECTED_INSTANCE, target.host()),
                limit);
    }
}
