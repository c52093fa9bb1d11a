package org.cicadalead.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Serves the platform's store over HTTP from memory. Safe for use by several threads. */
public final class LoopbackStore {
    private static final int PAGE_SIZE = 500;
    private static final int BYTES_PER_KILOBYTE = 1_024;
    private static final int DEFAULT_READ_KILOBYTES = 1_024;
    private static final int MAX_PAGE_BYTES = 1_000_000;
    private static final int BYTE_MASK = 0xff;

    private final Map<String, Topic> topics = new HashMap<>();
    private final Map<String, Writer> writers = new HashMap<>();
    private volatile boolean down;
    private volatile long answerDelayMilliseconds;

    void setDown(boolean isDown) {
        down = isDown;
    }

    /** Sets how long each answer to an entry process takes; no time at first. */
    public void setAnswerDelay(Duration delay) {
        answerDelayMilliseconds = delay.toMillis();
    }

    private void delay() {
        try {
            Thread.sleep(answerDelayMilliseconds);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private Topic topicOf(Map<String, String> query) {
        return topicOf(query.get("topic"));
    }

    private Topic topicOf(String name) {
        return topics.computeIfAbsent(name, newTopic -> new Topic());
    }

    /** The records of a topic, and the offset of the newest one of each key that has a value. Guarded by the store. */
    private static final class Topic {
        private final List<byte[]> records = new ArrayList<>();
        private final NavigableMap<String, Integer> newestOffsets = new TreeMap<>();

        int end() {
            return records.size();
        }

        void add(byte[] stored) {
            String key = keyOf(stored);
            if (stored.length > 1 + keyLength(stored)) {
                newestOffsets.put(key, records.size());
            } else {
                newestOffsets.remove(key);
            }
            records.add(stored);
        }

        /** Returns the newest value of a key; without a byte if there is none. */
        byte[] newestValue(String key) {
            Integer offset = newestOffsets.get(key);
            return offset == null ? new byte[0] : valueOf(records.get(offset));
        }

        private static int keyLength(byte[] stored) {
            return stored[0] & BYTE_MASK;
        }

        private static String keyOf(byte[] stored) {
            return new String(stored, 1, keyLength(stored), StandardCharsets.UTF_8);
        }

        private static byte[] valueOf(byte[] stored) {
            return Arrays.copyOfRange(stored, 1 + keyLength(stored), stored.length);
        }
    }

    /** Appends a record with a key, as the operator and the workers do. */
    public synchronized void put(String topic, String key, String value) {
        byte[] encodedKey = key.getBytes(StandardCharsets.UTF_8);
        byte[] content = value.getBytes(StandardCharsets.UTF_8);
        topicOf(topic)
                .add(ByteBuffer.allocate(1 + encodedKey.length + content.length)
                        .put((byte) encodedKey.length)
                        .put(encodedKey)
                        .put(content)
                        .array());
        notifyAll();
    }

    /**
     * Puts a configuration as the operator does, with a queue under {@code /plan/} that needs a key if there are
     * accounts, and one under {@code /public/} that doesn't.
     *
     * @param tenants the accounts as the platform's JSON; empty for a configuration without accounts
     */
    public void putConfiguration(long version, String tenants) {
        put(
                "keyed.op",
                "config",
                "{\"version\":" + version + ",\"routes\":["
                        + queue("open", "/public/", true) + "," + queue("queue", "/plan/", false)
                        + "],\"services\":[{\"name\":\"" + LoopbackWorker.SERVICE + "\",\"standby\":false}],"
                        + "\"limits\":{\"maxBodyBytes\":262144}"
                        + (tenants.isEmpty() ? "" : ",\"tenants\":" + tenants) + "}");
    }

    private static String queue(String name, String pathPrefix, boolean isPublic) {
        return "{\"name\":\"" + name + "\",\"host\":\"jobs.example\",\"pathPrefix\":\"" + pathPrefix + "\","
                + "\"public\":" + isPublic + ",\"service\":\"" + LoopbackWorker.SERVICE + "\",\"timeoutMs\":3000,"
                + "\"targetDurationMs\":600,\"priority\":0,\"maxAttempts\":3,\"slackFactor\":1.6}";
    }

    /** Puts the entry of a worker, as the worker does with each of its heartbeats. */
    public void putWorker(LoopbackWorker worker, String address) {
        put("keyed.servers", worker.identifier(), worker.nextEntry(address));
    }

    /**
     * Returns the newest record of the leader, in which the address of its process occurs; empty when there is none.
     */
    public String newestLeaderRecord() {
        return newestValue("keyed.leader", "leader");
    }

    synchronized String newestValue(String topic, String key) {
        return new String(topicOf(topic).newestValue(key), StandardCharsets.ISO_8859_1);
    }

    /** Answers a call of an entry process. */
    public void handle(HttpExchange exchange) throws IOException {
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

    private void append(HttpExchange exchange, Map<String, String> query, byte[] body) throws IOException {
        Answer answer = append(query, body);
        delay();
        LoopbackPlatform.send(exchange, answer.status(), PlatformHttpClient.encode(answer.body()));
    }

    private synchronized Answer append(Map<String, String> query, byte[] body) {
        Topic topic = topicOf(query);
        ObjectNode response = PlatformHttpClient.JSON.createObjectNode();
        Optional<Writer> writer = Optional.ofNullable(query.get("producer"))
                .map(name -> writers.computeIfAbsent(query.get("topic") + "/" + name, key -> new Writer()));
        Optional<Answer> known = writer.flatMap(present -> present.findAnswer(query, body.length == 0));
        if (known.isPresent()) {
            return known.get();
        }
        if (query.containsKey("at") && Long.parseLong(query.get("at")) != topic.end()) {
            return new Answer(PlatformHttpClient.PRECONDITION_FAILED, response.put("endOffset", topic.end()));
        }
        response.put("offset", topic.end());
        ByteBuffer buffer = ByteBuffer.wrap(body);
        while (buffer.hasRemaining()) {
            byte[] content = new byte[buffer.getInt()];
            buffer.get(content);
            topic.add(content);
        }
        notifyAll();
        Answer answer = new Answer(PlatformHttpClient.OK, response.put("endOffset", topic.end()));
        writer.ifPresent(present -> present.onAppended(query, body.length == 0, answer));
        return answer;
    }

    /** An answer to an append; its body isn't changed once it was given. */
    private record Answer(int status, ObjectNode body) {}

    /** The position of a writer in a topic. Guarded by the lock of the store. */
    private static final class Writer {
        private static final int KEPT_ANSWERS = 5;

        private final NavigableMap<Long, Answer> answers = new TreeMap<>();
        private long epoch = -1;
        private OptionalLong lastSequence = OptionalLong.empty();

        private static long parse(Map<String, String> query, String name) {
            return Long.parseLong(query.getOrDefault(name, "0"));
        }

        /** Returns the answer to an append that isn't carried out: it is fenced, repeated or out of sequence. */
        Optional<Answer> findAnswer(Map<String, String> query, boolean isEmpty) {
            long newEpoch = parse(query, "epoch");
            long sequence = parse(query, "seqNo");
            ObjectNode response = PlatformHttpClient.JSON.createObjectNode();
            if (newEpoch < epoch) {
                return Optional.of(new Answer(PlatformHttpClient.CONFLICT, response.put("reason", "fenced")));
            }
            if (newEpoch > epoch || isEmpty || lastSequence.isEmpty()) {
                return Optional.empty();
            }
            if (answers.containsKey(sequence)) {
                return Optional.ofNullable(answers.get(sequence));
            }
            long expected = lastSequence.getAsLong() + 1;
            return sequence == expected
                    ? Optional.empty()
                    : Optional.of(new Answer(
                            PlatformHttpClient.CONFLICT,
                            response.put("reason", "seq").put("seqNo", expected)));
        }

        void onAppended(Map<String, String> query, boolean isEmpty, Answer answer) {
            long newEpoch = parse(query, "epoch");
            if (newEpoch > epoch) {
                answers.clear();
                epoch = newEpoch;
                lastSequence = OptionalLong.empty();
            }
            if (!isEmpty) {
                long sequence = parse(query, "seqNo");
                lastSequence = OptionalLong.of(sequence);
                answers.put(sequence, answer);
                if (answers.size() > KEPT_ANSWERS) {
                    answers.pollFirstEntry();
                }
            }
        }
    }

    private void read(HttpExchange exchange, Map<String, String> query) throws IOException {
        ByteArrayOutputStream response = new ByteArrayOutputStream();
        synchronized (this) {
            Topic topic = topicOf(query);
            int fromOffset = Integer.parseInt(query.get("source"));
            long deadline = System.nanoTime()
                    + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.getOrDefault("waitMs", "0")));
            try {
                for (long remainingNanoseconds = deadline - System.nanoTime();
                        topic.end() <= fromOffset && remainingNanoseconds > 0; ) {
                    TimeUnit.NANOSECONDS.timedWait(this, remainingNanoseconds);
                    remainingNanoseconds = deadline - System.nanoTime();
                }
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
            response.writeBytes(
                    ByteBuffer.allocate(16).putLong(topic.end()).putLong(0).array());
            int maximumBytes = BYTES_PER_KILOBYTE
                    * Integer.parseInt(query.getOrDefault("maxKb", String.valueOf(DEFAULT_READ_KILOBYTES)));
            for (int offset = fromOffset; offset < topic.end() && response.size() < maximumBytes; offset++) {
                byte[] content = topic.records.get(offset);
                response.writeBytes(
                        ByteBuffer.allocate(4).putInt(content.length).array());
                response.writeBytes(content);
            }
        }
        delay();
        LoopbackPlatform.send(exchange, PlatformHttpClient.OK, response.toByteArray());
    }

    private void readNewestPage(HttpExchange exchange, Map<String, String> query) throws IOException {
        ObjectNode page = createNewestPage(query);
        delay();
        LoopbackPlatform.send(exchange, PlatformHttpClient.OK, PlatformHttpClient.encode(page));
    }

    /** Returns a page in the order of the keys, so that no key is left out when records come between two pages. */
    private synchronized ObjectNode createNewestPage(Map<String, String> query) {
        Topic topic = topicOf(query);
        String afterKey = query.getOrDefault("dependsOn", "");
        ObjectNode response = PlatformHttpClient.JSON.createObjectNode();
        ArrayNode items = response.putArray("items");
        boolean hasMore = false;
        int bytes = 0;
        for (Map.Entry<String, Integer> entry :
                topic.newestOffsets.tailMap(afterKey, false).entrySet()) {
            hasMore = items.size() == PAGE_SIZE || bytes > MAX_PAGE_BYTES;
            if (hasMore) {
                break;
            }
            byte[] value = topic.newestValue(entry.getKey());
            bytes += value.length;
            items.addObject()
                    .put("key", entry.getKey())
                    .put("value", Base64.getEncoder().encodeToString(value))
                    .put("offset", entry.getValue());
        }
        return response.put("hasMore", hasMore).put("endOffset", topic.end());
    }
}
