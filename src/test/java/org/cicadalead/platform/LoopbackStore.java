package org.cicadalead.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The platform's store over HTTP, in memory. Safe for use by several threads. */
final class LoopbackStore {
    private static final int PAGE_SIZE = 50;

    private final Map<String, List<byte[]>> topics = new HashMap<>();
    private final Map<String, Long> epochs = new HashMap<>();
    private volatile boolean down;

    void setDown(boolean isDown) {
        down = isDown;
    }

    private List<byte[]> recordsOf(String topic) {
        return topics.computeIfAbsent(topic, unseen -> new ArrayList<>());
    }

    /** Writes a record of a key, as the operator and the workers do. */
    synchronized void put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] content = value.getBytes(StandardCharsets.UTF_8);
        recordsOf(topic)
                .add(ByteBuffer.allocate(1 + name.length + content.length)
                        .put((byte) name.length)
                        .put(name)
                        .put(content)
                        .array());
        notifyAll();
    }

    synchronized String newestValue(String topic, String key) {
        return newestValues(topic).getOrDefault(key, "");
    }

    private Map<String, String> newestValues(String topic) {
        Map<String, String> values = new LinkedHashMap<>();
        for (byte[] stored : recordsOf(topic)) {
            String key = new String(stored, 1, stored[0], StandardCharsets.UTF_8);
            values.remove(key);
            values.put(
                    key, new String(stored, 1 + stored[0], stored.length - 1 - stored[0], StandardCharsets.ISO_8859_1));
        }
        values.values().removeIf(String::isEmpty);
        return values;
    }

    void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Map<String, String> query = LoopbackPlatform.parseQuery(exchange);
            if (down) {
                LoopbackPlatform.send(exchange, PlatformHttpClient.SERVICE_UNAVAILABLE, new byte[0]);
                return;
            }
            switch (exchange.getRequestURI().getPath()) {
                case "/v1/log-append" -> append(exchange, query, body);
                case "/v1/log-read" -> read(exchange, query);
                case "/v1/log-newest" -> readNewestPage(exchange, query);
                default -> LoopbackPlatform.send(exchange, 404, new byte[0]);
            }
        }
    }

    private synchronized void append(HttpExchange exchange, Map<String, String> query, byte[] body) throws IOException {
        List<byte[]> records = recordsOf(query.get("topic"));
        long epoch = Long.parseLong(query.getOrDefault("epoch", "0"));
        long known = epochs.getOrDefault(query.get("topic"), 0L);
        ObjectNode answer = PlatformHttpClient.JSON.createObjectNode();
        if (query.containsKey("epoch") && epoch < known) {
            LoopbackPlatform.send(
                    exchange, PlatformHttpClient.CONFLICT, PlatformHttpClient.encode(answer.put("reason", "fenced")));
            return;
        }
        if (query.containsKey("at") && Long.parseLong(query.get("at")) != records.size()) {
            LoopbackPlatform.send(
                    exchange,
                    PlatformHttpClient.PRECONDITION_FAILED,
                    PlatformHttpClient.encode(answer.put("endOffset", records.size())));
            return;
        }
        epochs.put(query.get("topic"), Math.max(epoch, known));
        answer.put("offset", records.size());
        ByteBuffer buffer = ByteBuffer.wrap(body);
        while (buffer.hasRemaining()) {
            byte[] content = new byte[buffer.getInt()];
            buffer.get(content);
            records.add(content);
        }
        notifyAll();
        LoopbackPlatform.send(
                exchange, PlatformHttpClient.OK, PlatformHttpClient.encode(answer.put("endOffset", records.size())));
    }

    private void read(HttpExchange exchange, Map<String, String> query) throws IOException {
        ByteArrayOutputStream answer = new ByteArrayOutputStream();
        synchronized (this) {
            List<byte[]> records = recordsOf(query.get("topic"));
            int source = Integer.parseInt(query.get("source"));
            long limit = System.nanoTime()
                    + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.getOrDefault("waitMs", "0")));
            try {
                for (long left = limit - System.nanoTime(); records.size() <= source && left > 0; ) {
                    TimeUnit.NANOSECONDS.timedWait(this, left);
                    left = limit - System.nanoTime();
                }
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
            answer.writeBytes(
                    ByteBuffer.allocate(16).putLong(records.size()).putLong(0).array());
            for (int offset = source; offset < records.size(); offset++) {
                byte[] content = records.get(offset);
                answer.writeBytes(ByteBuffer.allocate(4).putInt(content.length).array());
                answer.writeBytes(content);
            }
        }
        LoopbackPlatform.send(exchange, PlatformHttpClient.OK, answer.toByteArray());
    }

    private synchronized void readNewestPage(HttpExchange exchange, Map<String, String> query) throws IOException {
        String topic = query.get("topic");
        String after = query.getOrDefault("dependsOn", "");
        ObjectNode answer = PlatformHttpClient.JSON.createObjectNode();
        ArrayNode items = answer.putArray("items");
        boolean past = after.isEmpty();
        boolean more = false;
        for (Map.Entry<String, String> entry : newestValues(topic).entrySet()) {
            if (past && items.size() == PAGE_SIZE) {
                more = true;
                break;
            }
            if (past) {
                items.addObject()
                        .put("key", entry.getKey())
                        .put(
                                "value",
                                Base64.getEncoder()
                                        .encodeToString(entry.getValue().getBytes(StandardCharsets.ISO_8859_1)))
                        .put("offset", 0);
            }
            past |= entry.getKey().equals(after);
        }
        answer.put("hasMore", more).put("endOffset", recordsOf(topic).size());
        LoopbackPlatform.send(exchange, PlatformHttpClient.OK, PlatformHttpClient.encode(answer));
    }
}
