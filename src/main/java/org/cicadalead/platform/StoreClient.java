package org.cicadalead.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.net.URLEncoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.cicadalead.ports.RecordStore;

/** The platform's store. Safe for use by several threads. */
final class StoreClient implements RecordStore {
    /** Longest wait for an append: three times its slowest answer under the platform's own slow-downs. */
    private static final Duration APPEND_LIMIT = Duration.ofMillis(900);

    /** Longest wait for a read beyond the time for which it was asked to wait. */
    private static final Duration READ_LIMIT = Duration.ofMillis(900);

    /** Name under which the scheduling process writes. */
    private static final String WRITER = "scheduler";

    private static final String PART = "&part=0";
    private static final int LENGTH_BYTES = 4;
    private static final int HEADER_BYTES = 16;
    private static final int BYTE_MASK = 0xff;

    private final HttpCalls calls;
    private final String address;

    StoreClient(HttpCalls calls, String address) {
        this.calls = calls;
        this.address = address;
    }

    @Override
    public CompletableFuture<AppendResult> append(Topic topic, List<KeyedRecord> records, OptionalLong expectedEnd) {
        String condition = expectedEnd.isPresent() ? "&at=" + expectedEnd.getAsLong() : "";
        return calls.send(
                        "POST",
                        address,
                        "/v1/log-append?topic=" + nameOf(topic) + PART + condition,
                        frame(records),
                        Map.of(),
                        APPEND_LIMIT)
                .thenApply(reply -> reply.map(StoreClient::appended).orElse(unknown()));
    }

    @Override
    public CompletableFuture<AppendResult> appendFenced(
            Topic topic, List<KeyedRecord> records, WriterPosition position) {
        String writer = "&producer=" + WRITER + "&epoch=" + position.epoch() + "&seqNo=" + position.sequence();
        return calls.send(
                        "POST",
                        address,
                        "/v1/log-append?topic=" + nameOf(topic) + PART + writer,
                        frame(records),
                        Map.of(),
                        APPEND_LIMIT)
                .thenApply(reply ->
                        reply.map(answer -> appendedAs(answer, position)).orElse(unknown()));
    }

    private static AppendResult appendedAs(HttpCalls.Reply reply, WriterPosition position) {
        if (reply.status() != HttpCalls.CONFLICT) {
            return appended(reply);
        }
        JsonNode body = reply.json();
        if ("fenced".equals(body.path("reason").asText())) {
            return new AppendResult(AppendOutcome.FENCED, -1);
        }
        return new AppendResult(
                AppendOutcome.OUT_OF_SEQUENCE, body.path("seqNo").asLong(position.sequence() + 1));
    }

    private static AppendResult appended(HttpCalls.Reply reply) {
        JsonNode body = reply.json();
        return switch (reply.status()) {
            case HttpCalls.OK ->
                new AppendResult(AppendOutcome.STORED, body.path("endOffset").asLong());
            case HttpCalls.PRECONDITION_FAILED ->
                new AppendResult(AppendOutcome.CONFLICT, body.path("endOffset").asLong());
            case HttpCalls.NOT_SENT,
                    HttpCalls.BAD_REQUEST,
                    HttpCalls.CONFLICT,
                    HttpCalls.TOO_MANY,
                    HttpCalls.UNAVAILABLE,
                    HttpCalls.NO_STORAGE -> new AppendResult(AppendOutcome.REFUSED, -1);
            default -> unknown();
        };
    }

    private static AppendResult unknown() {
        return new AppendResult(AppendOutcome.UNKNOWN, -1);
    }

    @Override
    public CompletableFuture<ReadResult> read(Topic topic, long fromOffset, Duration wait) {
        String path = "/v1/log-read?topic=" + nameOf(topic) + PART + "&source=" + fromOffset
                + (wait.isZero() ? "" : "&waitMs=" + wait.toMillis());
        return calls.send("GET", address, path, new byte[0], Map.of(), READ_LIMIT.plus(wait))
                .thenApply(
                        reply -> reply.map(answer -> slice(answer, fromOffset)).orElse(failed(fromOffset)));
    }

    private static ReadResult failed(long fromOffset) {
        return new ReadResult(ReadOutcome.FAILED, List.of(), fromOffset);
    }

    private static ReadResult slice(HttpCalls.Reply reply, long fromOffset) {
        if (reply.status() == HttpCalls.GONE) {
            return new ReadResult(ReadOutcome.TRUNCATED, List.of(), fromOffset);
        }
        if (reply.status() != HttpCalls.OK || reply.body().length < HEADER_BYTES) {
            return failed(fromOffset);
        }
        ByteBuffer buffer = ByteBuffer.wrap(reply.body());
        buffer.position(HEADER_BYTES);
        List<KeyedRecord> records = new ArrayList<>();
        long offset = fromOffset;
        while (buffer.remaining() >= LENGTH_BYTES) {
            int length = buffer.getInt();
            if (length < 1 || length > buffer.remaining()) {
                return failed(fromOffset);
            }
            byte[] content = new byte[length];
            buffer.get(content);
            records.add(keyed(content, offset));
            offset++;
        }
        return new ReadResult(ReadOutcome.READ, records, offset);
    }

    private static KeyedRecord keyed(byte[] content, long offset) {
        int keyLength = Math.min(content[0] & BYTE_MASK, content.length - 1);
        String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
        byte[] value = Arrays.copyOfRange(content, 1 + keyLength, content.length);
        return new KeyedRecord(key, value.length == 0 ? Optional.empty() : Optional.of(value), offset);
    }

    private static byte[] frame(List<KeyedRecord> records) {
        ByteArrayOutputStream framed = new ByteArrayOutputStream();
        for (KeyedRecord stored : records) {
            byte[] key = stored.key().getBytes(StandardCharsets.UTF_8);
            byte[] value = stored.value().orElse(new byte[0]);
            ByteBuffer buffer = ByteBuffer.allocate(LENGTH_BYTES + 1 + key.length + value.length);
            buffer.putInt(1 + key.length + value.length)
                    .put((byte) key.length)
                    .put(key)
                    .put(value);
            framed.writeBytes(buffer.array());
        }
        return framed.toByteArray();
    }

    @Override
    public CompletableFuture<Snapshot> snapshot(Topic topic) {
        return page(topic, "", OptionalLong.empty(), List.of());
    }

    /** Pages are not a snapshot: reading on from the end that the first page named misses nothing. */
    private CompletableFuture<Snapshot> page(
            Topic topic, String after, OptionalLong firstEnd, List<KeyedRecord> before) {
        String path = "/v1/log-newest?topic=" + nameOf(topic) + PART
                + (after.isEmpty() ? "" : "&dependsOn=" + URLEncoder.encode(after, StandardCharsets.UTF_8));
        return calls.send("GET", address, path, new byte[0], Map.of(), READ_LIMIT)
                .thenCompose(reply -> {
                    if (reply.isEmpty() || reply.get().status() != HttpCalls.OK) {
                        return CompletableFuture.completedFuture(new Snapshot(false, List.of(), 0));
                    }
                    JsonNode body = reply.get().json();
                    long end = firstEnd.orElse(body.path("endOffset").asLong());
                    List<KeyedRecord> records = new ArrayList<>(before);
                    for (JsonNode item : body.path("items")) {
                        records.add(item(item));
                    }
                    boolean more = body.path("hasMore").asBoolean() && records.size() > before.size();
                    return more
                            ? page(topic, records.get(records.size() - 1).key(), OptionalLong.of(end), records)
                            : CompletableFuture.completedFuture(new Snapshot(true, records, end));
                });
    }

    private static KeyedRecord item(JsonNode item) {
        Optional<byte[]> value = Optional.of(item.path("value").asText(""))
                .map(text -> Base64.getDecoder().decode(text))
                .filter(bytes -> bytes.length > 0);
        return new KeyedRecord(
                item.path("key").asText(), value, item.path("offset").asLong());
    }

    private static String nameOf(Topic topic) {
        return switch (topic) {
            case JOBS -> "keyed.jobs";
            case SPARE_JOBS -> "keyed.jobs-spare";
            case PROGRESS -> "keyed.progress";
            case SPARE_PROGRESS -> "keyed.progress-spare";
            case LEADER -> "keyed.leader";
            case OPERATOR -> "keyed.op";
            case HOSTS -> "keyed.servers";
            case STATUS -> "keyed.status";
        };
    }
}
