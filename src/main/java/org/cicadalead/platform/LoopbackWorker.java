package org.cicadalead.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Serves a worker over HTTP whose runs all take the same short time. Safe for use by several threads. */
final class LoopbackWorker {
    private static final long RUN_MILLISECONDS = 60;

    private final long startedAtMilliseconds = System.currentTimeMillis();
    private final Map<String, Long> active = new LinkedHashMap<>();
    private final List<ArrayNode> ended = new ArrayList<>();
    private final List<String> starts = new ArrayList<>();
    private long fence;
    private long nextEndPosition = 1;

    /** Returns the started tasks in the order of their starts. */
    synchronized List<String> starts() {
        return List.copyOf(starts);
    }

    void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            JsonNode body = PlatformHttpClient.decode(exchange.getRequestBody().readAllBytes());
            synchronized (this) {
                long token = body.path("fencingToken").asLong();
                if (token < fence) {
                    LoopbackPlatform.send(
                            exchange,
                            PlatformHttpClient.CONFLICT,
                            PlatformHttpClient.encode(createResponse().put("reason", "fence")));
                    return;
                }
                fence = token;
                if (exchange.getRequestURI().getPath().equals("/v1/run-start")) {
                    starts.add(body.path("task").asText());
                    active.put(
                            body.path("task").asText() + "/"
                                    + body.path("attempt").asLong(),
                            System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RUN_MILLISECONDS));
                }
            }
            if (body.path("waitMs").asLong() > 0) {
                awaitEndedRun(body.path("ackPosition").asLong());
            }
            LoopbackPlatform.send(exchange, PlatformHttpClient.OK, PlatformHttpClient.encode(createListing(body)));
        }
    }

    private ObjectNode createResponse() {
        return PlatformHttpClient.JSON
                .createObjectNode()
                .put("clockMs", System.currentTimeMillis() - startedAtMilliseconds);
    }

    private void awaitEndedRun(long acknowledged) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(300);
        try {
            while (System.nanoTime() < deadline && !hasUnacknowledgedEnds(acknowledged)) {
                Thread.sleep(5);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean hasUnacknowledgedEnds(long acknowledged) {
        endDueRuns();
        return ended.stream().anyMatch(end -> end.get(0).asLong() > acknowledged);
    }

    private void endDueRuns() {
        active.entrySet().removeIf(run -> {
            boolean isDue = System.nanoTime() >= run.getValue();
            if (isDue) {
                String[] parts = run.getKey().split("/", -1);
                ended.add(PlatformHttpClient.JSON
                        .createArrayNode()
                        .add(nextEndPosition++)
                        .add(parts[0])
                        .add(Long.parseLong(parts[1]))
                        .add("done")
                        .add(""));
            }
            return isDue;
        });
    }

    private synchronized ObjectNode createListing(JsonNode body) {
        endDueRuns();
        long acknowledged = body.path("ackPosition").asLong();
        ended.removeIf(end -> end.get(0).asLong() <= acknowledged);
        ObjectNode listing = createResponse().put("born", startedAtMilliseconds);
        ArrayNode running = listing.putArray("active");
        active.keySet().forEach(run -> {
            String[] parts = run.split("/", -1);
            running.addArray()
                    .add(parts[0])
                    .add(Long.parseLong(parts[1]))
                    .add("")
                    .add(100)
                    .add(0);
        });
        listing.putArray("ended").addAll(ended);
        return listing;
    }
}
