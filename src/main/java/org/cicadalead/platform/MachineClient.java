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
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(1_500);

    private final PlatformHttpClient client;
    private final String address;
    private final String nodeName;

    MachineClient(PlatformHttpClient calls, String address, String holder) {
        this.client = calls;
        this.address = address;
        this.nodeName = holder;
    }

    @Override
    public CompletableFuture<Optional<List<MachineEntry>>> list() {
        return listPage("", List.of());
    }

    private CompletableFuture<Optional<List<MachineEntry>>> listPage(String token, List<MachineEntry> before) {
        String path = "/v1/machines"
                + (token.isEmpty() ? "" : "?pageToken=" + URLEncoder.encode(token, StandardCharsets.UTF_8));
        return client.send("GET", address, path, new byte[0], Map.of(), REQUEST_TIMEOUT)
                .thenCompose(reply -> {
                    if (reply.isEmpty() || reply.get().status() != PlatformHttpClient.OK) {
                        return CompletableFuture.completedFuture(Optional.empty());
                    }
                    JsonNode body = reply.get().json();
                    List<MachineEntry> machines = new ArrayList<>(before);
                    body.path("machines").forEach(machine -> machines.add(parseMachine(machine)));
                    String next = body.path("nextToken").asText("");
                    return next.isEmpty() || body.path("nextToken").isNull()
                            ? CompletableFuture.completedFuture(Optional.of(machines))
                            : listPage(next, machines);
                });
    }

    private static MachineEntry parseMachine(JsonNode machine) {
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
        ObjectNode body = PlatformHttpClient.JSON.createObjectNode();
        body.put("hostMachine", machine);
        body.put("waveNo", wave);
        return sendOrder("/v1/machine-upkeep", body, epoch);
    }

    @Override
    public CompletableFuture<MachineOutcome> move(String machine, String pool, long epoch) {
        ObjectNode body = PlatformHttpClient.JSON.createObjectNode();
        body.put("hostMachine", machine);
        body.put("pool", pool);
        return sendOrder("/v1/machine-move", body, epoch);
    }

    private CompletableFuture<MachineOutcome> sendOrder(String path, ObjectNode body, long epoch) {
        Map<String, String> headers = Map.of(
                "Content-Type", "application/json", "X-Duty-Holder", nodeName, "X-Fencing-Token", Long.toString(epoch));
        return client.post(address, path, body, headers, REQUEST_TIMEOUT)
                .thenApply(reply -> reply.map(MachineClient::toOutcome).orElse(MachineOutcome.UNKNOWN));
    }

    private static MachineOutcome toOutcome(PlatformHttpClient.Response reply) {
        return switch (reply.status()) {
            case PlatformHttpClient.OK -> MachineOutcome.BEGUN;
            case PlatformHttpClient.CONFLICT ->
                switch (reply.json().path("reason").asText()) {
                    case "fence" -> MachineOutcome.FENCED;
                    case "wave" -> MachineOutcome.IMPOSSIBLE;
                    default -> MachineOutcome.BUSY;
                };
            case PlatformHttpClient.BAD_REQUEST -> MachineOutcome.IMPOSSIBLE;
            case PlatformHttpClient.NOT_SENT,
                    PlatformHttpClient.TOO_MANY_REQUESTS,
                    PlatformHttpClient.SERVICE_UNAVAILABLE -> MachineOutcome.NOT_DONE;
            default -> MachineOutcome.UNKNOWN;
        };
    }
}
