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

/** Client of the platform's machine interface. Safe for use by several threads. */
final class MachineClient implements MachineOrders {
    /** Time limit of a request; the platform may be slow to respond. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(1_500);

    private final PlatformHttpClient client;
    private final String address;
    private final String nodeName;
    private final double maximumOrdersPerSecond;

    MachineClient(PlatformHttpClient client, String address, String nodeName, double maximumOrdersPerSecond) {
        this.maximumOrdersPerSecond = maximumOrdersPerSecond;
        this.client = client;
        this.address = address;
        this.nodeName = nodeName;
    }

    @Override
    public double maximumOrdersPerSecond() {
        return maximumOrdersPerSecond;
    }

    @Override
    public CompletableFuture<Optional<List<MachineEntry>>> list() {
        return listPage("", List.of());
    }

    private CompletableFuture<Optional<List<MachineEntry>>> listPage(
            String pageToken, List<MachineEntry> earlierPages) {
        String path = "/v1/machines"
                + (pageToken.isEmpty() ? "" : "?pageToken=" + URLEncoder.encode(pageToken, StandardCharsets.UTF_8));
        return client.send("GET", address, path, new byte[0], Map.of(), REQUEST_TIMEOUT)
                .thenCompose(response -> {
                    if (response.isEmpty() || response.get().status() != PlatformHttpClient.OK) {
                        return CompletableFuture.completedFuture(Optional.empty());
                    }
                    JsonNode body = response.get().json();
                    Optional<String> nextToken = parseNextToken(body, pageToken);
                    if (nextToken.isEmpty()) {
                        return CompletableFuture.completedFuture(Optional.empty());
                    }
                    List<MachineEntry> machines = new ArrayList<>(earlierPages);
                    body.path("machines")
                            .forEach(machine -> parseMachine(machine).ifPresent(machines::add));
                    return nextToken.get().isEmpty()
                            ? CompletableFuture.completedFuture(Optional.of(machines))
                            : listPage(nextToken.get(), machines);
                });
    }

    /** Returns the token of the next page, which is empty at the end; empty if the answer is no page, or repeats. */
    private static Optional<String> parseNextToken(JsonNode body, String pageToken) {
        JsonNode machines = body.path("machines");
        if (!body.isObject() || !(machines.isMissingNode() || machines.isArray())) {
            return Optional.empty();
        }
        String nextToken =
                body.path("nextToken").isNull() ? "" : body.path("nextToken").asText("");
        return Optional.of(nextToken).filter(token -> token.isEmpty() || !token.equals(pageToken));
    }

    /** Returns the machine in a row; empty if the row names none, or a state that is not known. */
    private static Optional<MachineEntry> parseMachine(JsonNode machine) {
        try {
            return Optional.of(new MachineEntry(
                    CheckedJson.requireText(machine.path("hostMachine")),
                    CheckedJson.textOf(machine.path("pool")),
                    parseCondition(machine.path("state")),
                    machine.path("id").isNull() ? "" : CheckedJson.textOf(machine.path("id"))));
        } catch (IllegalArgumentException ofAnotherType) {
            return Optional.empty();
        }
    }

    private static MachineCondition parseCondition(JsonNode state) {
        return switch (CheckedJson.requireText(state)) {
            case "up" -> MachineCondition.UP;
            case "moving" -> MachineCondition.MOVING;
            case "upkeep" -> MachineCondition.UPKEEP;
            case "down" -> MachineCondition.DOWN;
            default -> throw new IllegalArgumentException("an unknown state");
        };
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
                .thenApply(response -> response.map(MachineClient::toOutcome).orElse(MachineOutcome.UNKNOWN));
    }

    private static MachineOutcome toOutcome(PlatformHttpClient.Response response) {
        return switch (response.status()) {
            case PlatformHttpClient.OK -> MachineOutcome.BEGUN;
            case PlatformHttpClient.CONFLICT ->
                switch (response.json().path("reason").asText()) {
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
