package org.cicadalead.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cicadalead.ports.Advisor;

/** Client of the platform's policy service. Safe for use by several threads. */
final class AdvisorClient implements Advisor {
    /** Time limit of a request: the service handles one request at a time, and up to 32 others may be queued first. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);

    private final PlatformHttpClient client;
    private final String address;

    /** Creates a client; with an empty address, every request completes with an empty result. */
    AdvisorClient(PlatformHttpClient client, String address) {
        this.client = client;
        this.address = address;
    }

    @Override
    public CompletableFuture<Optional<Map<String, String>>> ask(String step, List<String> hosts) {
        if (address.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        ObjectNode body = PlatformHttpClient.JSON.createObjectNode();
        body.put("stepId", step);
        hosts.forEach(body.putArray("workers")::add);
        return client.post(address, "/v1/advise", body, Map.of("Content-Type", "application/json"), REQUEST_TIMEOUT)
                .thenApply(response -> response.filter(advice -> advice.status() == PlatformHttpClient.OK)
                        .map(PlatformHttpClient.Response::json)
                        .filter(JsonNode::isObject)
                        .map(AdvisorClient::parseTickets));
    }

    /** Returns the tickets by host from rows of host and ticket. */
    private static Map<String, String> parseTickets(JsonNode body) {
        Map<String, String> tickets = new HashMap<>();
        for (JsonNode row : body.path("allowed")) {
            String ticket = row.path(1).asText("");
            if (row.path(0).isTextual() && !row.path(0).asText().isEmpty() && !ticket.isEmpty()) {
                tickets.put(row.path(0).asText(), ticket);
            }
        }
        return tickets;
    }
}
