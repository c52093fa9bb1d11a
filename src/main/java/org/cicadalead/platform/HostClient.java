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

/** Sends orders to the platform's hosts over HTTP. Safe for use by several threads. */
final class HostClient implements HostOrders {
    /**
     * Time limit of an order: responses take a few milliseconds, so one that takes longer is lost. A task waits for it
     * out of the few hundred milliseconds that its job has to spare; a later poll shows a start that was only slow.
     */
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(300);

    /** Time limit of a host poll in addition to the time for which the host is asked to wait. */
    private static final Duration POLL_TIMEOUT_MARGIN = Duration.ofMillis(350);

    private static final String EXPECTED_INSTANCE_HEADER = "X-Expected-Instance";
    private static final int ACTIVE_RUN_FIELDS = 4;
    private static final int ENDED_RUN_FIELDS = 5;
    private static final long NO_ATTEMPT = -1;
    private static final long NO_CLOCK = -1;

    /** Number of ended runs in a reply from which on further ones may follow in the next reply. */
    private static final int ENDED_RUNS_PER_REPLY = 500;

    private final PlatformHttpClient client;

    HostClient(PlatformHttpClient client) {
        this.client = client;
    }

    @Override
    public CompletableFuture<StartReply> start(StartOrder order) {
        ObjectNode body = createRunBody(order.run());
        body.put("spec", order.payload());
        body.put("deadlineMs", order.deadline());
        body.put("fencingToken", order.target().epoch());
        if (!order.checkpoint().isEmpty()) {
            body.put("checkpoint", order.checkpoint());
        }
        order.ticket().ifPresent(ticket -> body.put("ticket", ticket));
        return post(order.target(), "/v1/run-start", body, ORDER_TIMEOUT)
                .thenApply(response -> new StartReply(
                        response.map(HostClient::toStartOutcome).orElse(StartOutcome.UNKNOWN), readClock(response)));
    }

    private static StartOutcome toStartOutcome(PlatformHttpClient.Response response) {
        return switch (response.status()) {
            case PlatformHttpClient.OK -> StartOutcome.STARTED;
            case PlatformHttpClient.CONFLICT ->
                toRefusalOutcome(response.json().path("reason").asText());
            case PlatformHttpClient.BAD_REQUEST -> StartOutcome.INVALID;
            case PlatformHttpClient.MISDIRECTED_REQUEST -> StartOutcome.OTHER_HOST;
            case PlatformHttpClient.NOT_SENT,
                    PlatformHttpClient.TOO_MANY_REQUESTS,
                    PlatformHttpClient.SERVICE_UNAVAILABLE -> StartOutcome.UNHEALTHY;
            default -> StartOutcome.UNKNOWN;
        };
    }

    private static StartOutcome toRefusalOutcome(String reason) {
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
    public CompletableFuture<OrderReply> stop(Target target, RunKey run) {
        ObjectNode body = createRunBody(run);
        body.put("fencingToken", target.epoch());
        return post(target, "/v1/run-stop", body, ORDER_TIMEOUT).thenApply(HostClient::toOrderReply);
    }

    @Override
    public CompletableFuture<OrderReply> pace(Target target, RunKey run, int percentage) {
        ObjectNode body = createRunBody(run);
        body.put("percentage", percentage);
        body.put("fencingToken", target.epoch());
        return post(target, "/v1/pace", body, ORDER_TIMEOUT).thenApply(HostClient::toOrderReply);
    }

    @Override
    public CompletableFuture<PollResult> poll(Target target, OptionalLong deadline, long acknowledged, Duration wait) {
        ObjectNode body = PlatformHttpClient.JSON.createObjectNode();
        deadline.ifPresent(leaseEnd -> body.put("deadlineMs", leaseEnd));
        body.put("fencingToken", target.epoch());
        body.put("ackPosition", acknowledged);
        if (!wait.isZero()) {
            body.put("waitMs", wait.toMillis());
        }
        return post(target, "/v1/hold", body, POLL_TIMEOUT_MARGIN.plus(wait))
                .thenApply(HostClient::toPollResult)
                .exceptionally(unreadable -> new PollResult(OrderOutcome.UNKNOWN, Optional.empty()));
    }

    private static PollResult toPollResult(Optional<PlatformHttpClient.Response> response) {
        OrderOutcome outcome = toOrderOutcome(response);
        if (outcome != OrderOutcome.CONFIRMED) {
            return new PollResult(outcome, Optional.empty());
        }
        Optional<HostListing> listing =
                response.map(PlatformHttpClient.Response::json).flatMap(HostClient::parseListing);
        return new PollResult(listing.isPresent() ? outcome : OrderOutcome.UNKNOWN, listing);
    }

    private static OrderReply toOrderReply(Optional<PlatformHttpClient.Response> response) {
        return new OrderReply(toOrderOutcome(response), readClock(response));
    }

    /** Returns the reading of the host's clock; only the host itself confirms an order or rejects it as conflicting. */
    private static OptionalLong readClock(Optional<PlatformHttpClient.Response> response) {
        long clock = response.filter(reply ->
                        reply.status() == PlatformHttpClient.OK || reply.status() == PlatformHttpClient.CONFLICT)
                .map(reply -> CheckedJson.numberOr(reply.json().path("clockMs"), NO_CLOCK, CheckedJson.MAX_NUMBER))
                .orElse(NO_CLOCK);
        return clock == NO_CLOCK ? OptionalLong.empty() : OptionalLong.of(clock);
    }

    private static OrderOutcome toOrderOutcome(Optional<PlatformHttpClient.Response> response) {
        if (response.isEmpty()) {
            return OrderOutcome.UNKNOWN;
        }
        return switch (response.get().status()) {
            case PlatformHttpClient.OK -> OrderOutcome.CONFIRMED;
            case PlatformHttpClient.MISDIRECTED_REQUEST -> OrderOutcome.OTHER_HOST;
            case PlatformHttpClient.CONFLICT ->
                "fence".equals(response.get().json().path("reason").asText())
                        ? OrderOutcome.FENCED
                        : OrderOutcome.UNKNOWN;
            default -> OrderOutcome.UNKNOWN;
        };
    }

    /**
     * Returns the listing in a reply; empty if the reply is none, or doesn't tell how a run has ended, as a run that is
     * missing in a list starts again elsewhere. Rows that name no run are left out.
     */
    private static Optional<HostListing> parseListing(JsonNode body) {
        if (!body.isObject()) {
            return Optional.empty();
        }
        try {
            List<ActiveRun> active = new ArrayList<>();
            for (JsonNode row : CheckedJson.rowsOf(body.path("active"))) {
                if (row.size() >= ACTIVE_RUN_FIELDS) {
                    parseRun(row.path(0), row.path(1)).ifPresent(run -> active.add(parseActiveRun(run, row)));
                }
            }
            List<EndedRun> ended = new ArrayList<>();
            for (JsonNode row : CheckedJson.rowsOf(body.path("ended"))) {
                if (row.size() >= ENDED_RUN_FIELDS) {
                    parseRun(row.path(1), row.path(2)).ifPresent(run -> ended.add(parseEndedRun(run, row)));
                }
            }
            return Optional.of(new HostListing(
                    CheckedJson.wholeNumberOf(body.path("born"), 0, CheckedJson.MAX_NUMBER),
                    CheckedJson.numberOf(body.path("clockMs"), 0, CheckedJson.MAX_NUMBER),
                    active,
                    ended,
                    body.path("ended").size() >= ENDED_RUNS_PER_REPLY));
        } catch (IllegalArgumentException ofAnotherType) {
            return Optional.empty();
        }
    }

    private static ActiveRun parseActiveRun(RunKey run, JsonNode row) {
        return new ActiveRun(
                run,
                row.path(2).asText(""),
                (int) CheckedJson.numberOr(row.path(3), 0, Integer.MAX_VALUE),
                CheckedJson.numberOr(row.path(4), 0, CheckedJson.MAX_NUMBER));
    }

    private static EndedRun parseEndedRun(RunKey run, JsonNode row) {
        return new EndedRun(
                CheckedJson.requireWholeNumber(row.path(0), CheckedJson.MAX_NUMBER),
                run,
                RunEnding.valueOf(CheckedJson.requireText(row.path(3)).toUpperCase(Locale.ROOT)),
                row.path(4).asText(""));
    }

    private static Optional<RunKey> parseRun(JsonNode task, JsonNode attempt) {
        long number = attempt.canConvertToExactIntegral()
                ? CheckedJson.numberOr(attempt, NO_ATTEMPT, CheckedJson.MAX_NUMBER)
                : NO_ATTEMPT;
        return number == NO_ATTEMPT || !task.isTextual()
                ? Optional.empty()
                : TaskKey.parse(task.textValue()).map(key -> new RunKey(key, number));
    }

    private static ObjectNode createRunBody(RunKey run) {
        ObjectNode body = PlatformHttpClient.JSON.createObjectNode();
        body.put("task", run.task().toString());
        body.put("attempt", run.attempt());
        return body;
    }

    private CompletableFuture<Optional<PlatformHttpClient.Response>> post(
            Target target, String path, ObjectNode body, Duration timeout) {
        return client.post(
                target.address(),
                path,
                body,
                Map.of("Content-Type", "application/json", EXPECTED_INSTANCE_HEADER, target.host()),
                timeout);
    }
}
