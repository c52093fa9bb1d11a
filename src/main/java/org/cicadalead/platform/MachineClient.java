package org.cicadalead.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cicadalead.model.work.MachineCondition;
import org.cicadalead.model.work.MachineEntry;
import org.cicadalead.model.work.MachineOutcome;
import org.cicadalead.ports.MachineOrders;

/** Orders for the platform's machines. Safe for use by several threads. */
final class MachineClient implements MachineOrders {
    /** Longest wait for an answer; the platform may be slow here. */
    private static final Duration LIMIT = Duration.ofMillis(1_500);

    private final HttpCalls calls;
    private final String address;
    private final String holder;

    MachineClient(HttpCalls calls, String address, String holder) {
        this.calls = calls;
        this.address = address;
        this.holder = holder;
    }

    @Override
    public CompletableFuture<Optional<List<MachineEntry>>> list() {
        return page("", List.of());
    }

    private CompletableFuture<Optional<List<MachineEntry>>> page(String token, List<MachineEntry> before) {
        String path = "/v1/machines"
                + (token.isEmpty() ? "" : "?pageToken=" + URLEncoder.encode(token, StandardCharsets.UTF_8));
        return calls.send("GET", address, path, new byte[0], Map.of(), LIMIT).thenCompose(reply -> {
            if (reply.isEmpty() || reply.get().status() != HttpCalls.OK) {
                return CompletableFuture.completedFuture(Optional.empty());
            }
            JsonNode body = reply.get().json();
            List<MachineEntry> machines = new ArrayList<>(before);
            body.path("machines").forEach(machine -> machines.add(entry(machine)));
            String next = body.path("nextToken").asText("");
            return next.isEmpty() || body.path("nextToken").isNull()
                    ? CompletableFuture.completedFuture(Optional.of(machines))
                    : page(next, machines);
        });
    }

    private static MachineEntry entry(JsonNode machine) {
        MachineCondition condition =
                switch (machine.path("state").asText()) {
                    case "up" -> MachineCondition.UP;
                    case "moving" -> MachineCondition.MOVING;
                    case "upkeep" -> MachineCondition.UPKEEP;
                    default -> MachineCondition.DOWN;
                };
        return new MachineEntry(
                machine.path("hostMachine").asText(),
                machine.path("pool").asText(),
                condition,
                machine.path("id").asText(""));
    }

    @Override
    public CompletableFuture<MachineOutcome> maintain(String machine, long wave, long epoch) {
        ObjectNode body = HttpCalls.JSON.createObjectNode();
        body.put("hostMachine", machine);
        body.put("waveNo", wave);
        return order("/v1/machine-upkeep", body, epoch);
    }

    @Override
    public CompletableFuture<MachineOutcome> move(String machine, String pool, long epoch) {
        ObjectNode body = HttpCalls.JSON.createObjectNode();
        body.put("hostMachine", machine);
        body.put("pool", pool);
        return order("/v1/machine-move", body, epoch);
    }

    private CompletableFuture<MachineOutcome> order(String path, ObjectNode body, long epoch) {
        Map<String, String> headers = Map.of(
                "Content-Type", "application/json", "X-Duty-Holder", holder, "X-Fencing-Token", Long.toString(epoch));
        return calls.post(address, path, body, headers, LIMIT)
                .thenApply(reply -> reply.map(MachineClient::outcome).orElse(MachineOutcome.UNKNOWN));
    }

    private static MachineOutcome outcome(HttpCalls.Reply reply) {
        return switch (reply.status()) {
            case HttpCalls.OK -> MachineOutcome.BEGUN;
            case HttpCalls.CONFLICT ->
                switch (reply.json().path("reason").asText()) {
                    case "fence" -> MachineOutcome.FENCED;
                    case "wave" -> MachineOutcome.IMPOSSIBLE;
                    default -> MachineOutcome.BUSY;
                };
            case HttpCalls.BAD_REQUEST -> MachineOutcome.IMPOSSIBLE;
            case HttpCalls.NOT_SENT, HttpCalls.TOO_MANY, HttpCalls.UNAVAILABLE -> MachineOutcome.NOT_DONE;
            default -> MachineOutcome.UNKNOWN;
        };
    }
}
