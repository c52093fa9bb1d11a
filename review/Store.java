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
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's metadata store, from memory: a log with conditional appends, appends by producers, reads that wait and
 * the newest record of each key. Safe for use by several threads.
 */
final class Store {
    private static final int PAGE_ITEMS = 500;
    private static final long ANSWER_MS = 4;
    private static final int KEPT_ANSWERS = 5;
    private static final int RECORD_BYTES = 262_144;
    private static final int REQUEST_BYTES = 2_097_152;

    /** Factor by which every answer takes longer; 1 in steady state. */
    volatile double slowFactor = 1;

    private final Map<String, Topic> topics = new HashMap<>();

    private static final class Topic {
        final List<byte[]> records = new ArrayList<>();
        final Map<String, long[]> producers = new HashMap<>();
        final Map<String, TreeMap<Long, byte[]>> answers = new HashMap<>();
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, key -> new Topic());
    }

    /** Appends a record with a key, as the operator and the workers do. */
    synchronized void put(String topic, String key, String value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
        topic(topic)
                .records
                .add(ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length)
                        .put((byte) keyBytes.length)
                        .put(keyBytes)
                        .put(valueBytes)
                        .array());
        notifyAll();
    }

    /** Returns the newest value of each key of a topic. */
    synchronized Map<String, byte[]> newest(String name) {
        Map<String, byte[]> values = new TreeMap<>();
        for (byte[] content : topic(name).records) {
            String key = keyOf(content);
            byte[] value = java.util.Arrays.copyOfRange(content, 1 + (content[0] & 0xff), content.length);
            if (value.length == 0) {
                values.remove(key);
            } else {
                values.put(key, value);
            }
        }
        return values;
    }

    private static String keyOf(byte[] content) {
        return new String(content, 1, content[0] & 0xff, StandardCharsets.UTF_8);
    }

    private void delay() {
        try {
            Thread.sleep(Math.round(ANSWER_MS * slowFactor));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Map<String, String> query = Http.query(exchange);
        switch (exchange.getRequestURI().getPath()) {
            case "/v1/log-append" -> append(exchange, query, body);
            case "/v1/log-read" -> read(exchange, query);
            case "/v1/log-newest" -> readNewest(exchange, query);
            default -> Http.answer(exchange, 404, new byte[0]);
        }
    }

    private static boolean isTooLarge(byte[] body) {
        ByteBuffer buffer = ByteBuffer.wrap(body);
        boolean isTooLarge = body.length > REQUEST_BYTES;
        while (!isTooLarge && buffer.hasRemaining()) {
            int length = buffer.getInt();
            isTooLarge = length > RECORD_BYTES;
            buffer.position(isTooLarge ? buffer.position() : buffer.position() + length);
        }
        return isTooLarge;
    }

    private void append(HttpExchange exchange, Map<String, String> query, byte[] body) throws IOException {
        int status;
        byte[] answer;
        if (isTooLarge(body)) {
            delay();
            Http.answer(exchange, 400, new byte[0]);
            return;
        }
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            ObjectNode response = Http.JSON.createObjectNode();
            String producer = query.get("producer");
            long epoch = Long.parseLong(query.getOrDefault("epoch", "0"));
            long sequence = Long.parseLong(query.getOrDefault("seqNo", "0"));
            long[] last = producer == null ? null : topic.producers.get(producer);
            byte[] repeated = last != null && last[0] == epoch && body.length > 0
                    ? topic.answers.get(producer).get(sequence)
                    : null;
            if (last != null && epoch < last[0]) {
                status = 409;
                answer = Http.JSON.writeValueAsBytes(response.put("reason", "fenced"));
            } else if (repeated != null) {
                status = 200;
                answer = repeated;
            } else if (last != null && epoch == last[0] && body.length > 0 && last[1] >= 0 && sequence != last[1] + 1) {
                status = 409;
                answer = Http.JSON.writeValueAsBytes(
                        response.put("reason", "seq").put("seqNo", last[1] + 1));
            } else if (query.containsKey("at") && Long.parseLong(query.get("at")) != topic.records.size()) {
                status = 412;
                answer = Http.JSON.writeValueAsBytes(response.put("endOffset", topic.records.size()));
            } else {
                response.put("offset", topic.records.size());
                ByteBuffer buffer = ByteBuffer.wrap(body);
                while (buffer.hasRemaining()) {
                    byte[] content = new byte[buffer.getInt()];
                    buffer.get(content);
                    topic.records.add(content);
                }
                notifyAll();
                status = 200;
                answer = Http.JSON.writeValueAsBytes(response.put("endOffset", topic.records.size()));
                if (producer != null) {
                    boolean isNewEpoch = last == null || epoch > last[0];
                    if (isNewEpoch) {
                        topic.answers.put(producer, new TreeMap<>());
                    }
                    // An empty append sets the epoch; the next one may have any number.
                    topic.producers.put(
                            producer, new long[] {epoch, body.length == 0 ? (isNewEpoch ? -1 : last[1]) : sequence});
                    if (body.length > 0) {
                        TreeMap<Long, byte[]> answers = topic.answers.get(producer);
                        answers.put(sequence, answer);
                        if (answers.size() > KEPT_ANSWERS) {
                            answers.pollFirstEntry();
                        }
                    }
                }
            }
        }
        delay();
        Http.answer(exchange, status, answer);
    }

    private void read(HttpExchange exchange, Map<String, String> query) throws IOException {
        ByteArrayOutputStream response = new ByteArrayOutputStream();
        long deadline = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            int source = Integer.parseInt(query.get("source"));
            try {
                long remaining = deadline - System.nanoTime();
                while (topic.records.size() <= source && remaining > 1_000_000) {
                    wait(remaining / 1_000_000);
                    remaining = deadline - System.nanoTime();
                }
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
            response.writeBytes(ByteBuffer.allocate(16)
                    .putLong(topic.records.size())
                    .putLong(0)
                    .array());
            for (int offset = source; offset < topic.records.size(); offset++) {
                byte[] content = topic.records.get(offset);
                response.writeBytes(ByteBuffer.allocate(4).putInt(content.length).array());
                response.writeBytes(content);
            }
        }
        delay();
        Http.answer(exchange, 200, response.toByteArray());
    }

    private void readNewest(HttpExchange exchange, Map<String, String> query) throws IOException {
        ObjectNode response = Http.JSON.createObjectNode();
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            String after = query.getOrDefault("dependsOn", "");
            Map<String, Integer> offsets = new TreeMap<>();
            for (int offset = 0; offset < topic.records.size(); offset++) {
                byte[] content = topic.records.get(offset);
                if (content.length == 1 + (content[0] & 0xff)) {
                    offsets.remove(keyOf(content));
                } else {
                    offsets.put(keyOf(content), offset);
                }
            }
            ArrayNode items = response.putArray("items");
            boolean hasMore = false;
            for (Map.Entry<String, Integer> entry : offsets.entrySet()) {
                if (entry.getKey().compareTo(after) <= 0 && !after.isEmpty()) {
                    continue;
                }
                if (items.size() == PAGE_ITEMS) {
                    hasMore = true;
                    break;
                }
                byte[] content = topic.records.get(entry.getValue());
                byte[] value = java.util.Arrays.copyOfRange(content, 1 + (content[0] & 0xff), content.length);
                items.addObject()
                        .put("key", entry.getKey())
                        .put("value", Base64.getEncoder().encodeToString(value))
                        .put("offset", entry.getValue());
            }
            response.put("hasMore", hasMore).put("endOffset", topic.records.size());
        }
        delay();
        Http.answer(exchange, 200, response);
    }
}
