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
    private static final Duration APPEND_TIMEOUT = Duration.ofMillis(900);

    /** Longest wait for a read beyond the time for which it was asked to wait. */
    private static final Duration READ_TIMEOUT = Duration.ofMillis(900);

    /** Name under which the scheduling process writes. */
    private static final String WRITER_NAME = "scheduler";

    private static final String PART_PARAMETER = "&part=0";
    private static final int LENGTH_BYTES = 4;
    private static final int HEADER_BYTES = 16;
    private static final int BYTE_MASK = 0xff;

    private final PlatformHttpClient client;
    private final String address;

    StoreClient(PlatformHttpClient calls, String address) {
        this.client = calls;
        this.address = address;
    }

    @Override
    public CompletableFuture<Appended> append(Topic topic, List<KeyedRecord> records, OptionalLong expectedEnd) {
        String condition = expectedEnd.isPresent() ? "&at=" + expectedEnd.getAsLong() : "";
        return client.send(
                        "POST",
                        address,
                        "/v1/log-append?topic=" + topicName(topic) + PART_PARAMETER + condition,
                        encodeRecords(records),
                        Map.of(),
                        APPEND_TIMEOUT)
                .thenApply(reply -> reply.map(StoreClient::toAppended).orElse(createUnknownOutcome()));
    }

    @Override
    public CompletableFuture<Appended> appendAs(Topic topic, List<KeyedRecord> records, WriterPosition position) {
        String writer = "&producer=" + WRITER_NAME + "&epoch=" + position.epoch() + "&seqNo=" + position.sequence();
        return client.send(
                        "POST",
                        address,
                        "/v1/log-append?topic=" + topicName(topic) + PART_PARAMETER + writer,
                        encodeRecords(records),
                        Map.of(),
                        APPEND_TIMEOUT)
                .thenApply(reply -> reply.map(answer -> toAppendedByWriter(answer, position))
                        .orElse(createUnknownOutcome()));
    }

    private static Appended toAppendedByWriter(PlatformHttpClient.Response reply, WriterPosition position) {
        if (reply.status() != PlatformHttpClient.CONFLICT) {
            return toAppended(reply);
        }
        JsonNode body = reply.json();
        if ("fenced".equals(body.path("reason").asText())) {
            return new Appended(AppendOutcome.FENCED, -1);
        }
        return new Appended(AppendOutcome.OUT_OF_SEQUENCE, body.path("seqNo").asLong(position.sequence() + 1));
    }

    private static Appended toAppended(PlatformHttpClient.Response reply) {
        JsonNode body = reply.json();
        return switch (reply.status()) {
            case PlatformHttpClient.OK ->
                new Appended(AppendOutcome.STORED, body.path("endOffset").asLong());
            case PlatformHttpClient.PRECONDITION_FAILED ->
                new Appended(AppendOutcome.CONFLICT, body.path("endOffset").asLong());
            case PlatformHttpClient.NOT_SENT,
                    PlatformHttpClient.BAD_REQUEST,
                    PlatformHttpClient.CONFLICT,
                    PlatformHttpClient.TOO_MANY_REQUESTS,
                    PlatformHttpClient.SERVICE_UNAVAILABLE,
                    PlatformHttpClient.INSUFFICIENT_STORAGE -> new Appended(AppendOutcome.REFUSED, -1);
            default -> createUnknownOutcome();
        };
    }

    private static Appended createUnknownOutcome() {
        return new Appended(AppendOutcome.UNKNOWN, -1);
    }

    @Override
    public CompletableFuture<Slice> read(Topic topic, long fromOffset, Duration wait) {
        String path = "/v1/log-read?topic=" + topicName(topic) + PART_PARAMETER + "&source=" + fromOffset
                + (wait.isZero() ? "" : "&waitMs=" + wait.toMillis());
        return client.send("GET", address, path, new byte[0], Map.of(), READ_TIMEOUT.plus(wait))
                .thenApply(reply ->
                        reply.map(answer -> parseSlice(answer, fromOffset)).orElse(createFailedSlice(fromOffset)));
    }

    private static Slice createFailedSlice(long fromOffset) {
        return new Slice(ReadOutcome.FAILED, List.of(), fromOffset);
    }

    private static Slice parseSlice(PlatformHttpClient.Response reply, long fromOffset) {
        if (reply.status() == PlatformHttpClient.GONE) {
            return new Slice(ReadOutcome.TRUNCATED, List.of(), fromOffset);
        }
        if (reply.status() != PlatformHttpClient.OK || reply.body().length < HEADER_BYTES) {
            return createFailedSlice(fromOffset);
        }
        ByteBuffer buffer = ByteBuffer.wrap(reply.body());
        buffer.position(HEADER_BYTES);
        List<KeyedRecord> records = new ArrayList<>();
        long offset = fromOffset;
        while (buffer.remaining() >= LENGTH_BYTES) {
            int length = buffer.getInt();
            if (length < 1 || length > buffer.remaining()) {
                return createFailedSlice(fromOffset);
            }
            byte[] content = new byte[length];
            buffer.get(content);
            records.add(parseRecord(content, offset));
            offset++;
        }
        return new Slice(ReadOutcome.READ, records, offset);
    }

    private static KeyedRecord parseRecord(byte[] content, long offset) {
        int keyLength = Math.min(content[0] & BYTE_MASK, content.length - 1);
        String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
        byte[] value = Arrays.copyOfRange(content, 1 + keyLength, content.length);
        return new KeyedRecord(key, value.length == 0 ? Optional.empty() : Optional.of(value), offset);
    }

    private static byte[] encodeRecords(List<KeyedRecord> records) {
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
        return readSnapshotPage(topic, "", OptionalLong.empty(), List.of());
    }

    /** Pages are not a snapshot: reading on from the end that the first page named misses nothing. */
    private CompletableFuture<Snapshot> readSnapshotPage(
            Topic topic, String after, OptionalLong firstEnd, List<KeyedRecord> before) {
        String path = "/v1/log-newest?topic=" + topicName(topic) + PART_PARAMETER
                + (after.isEmpty() ? "" : "&dependsOn=" + URLEncoder.encode(after, StandardCharsets.UTF_8));
        return client.send("GET", address, path, new byte[0], Map.of(), READ_TIMEOUT)
                .thenCompose(reply -> {
                    if (reply.isEmpty() || reply.get().status() != PlatformHttpClient.OK) {
                        return CompletableFuture.completedFuture(new Snapshot(false, List.of(), 0));
                    }
                    JsonNode body = reply.get().json();
                    long end = firstEnd.orElse(body.path("endOffset").asLong());
                    List<KeyedRecord> records = new ArrayList<>(before);
                    for (JsonNode item : body.path("items")) {
                        records.add(parseSnapshotItem(item));
                    }
                    boolean more = body.path("hasMore").asBoolean() && records.size() > before.size();
                    return more
                            ? readSnapshotPage(
                                    topic, records.get(records.size() - 1).key(), OptionalLong.of(end), records)
                            : CompletableFuture.completedFuture(new Snapshot(true, records, end));
                });
    }

    private static KeyedRecord parseSnapshotItem(JsonNode item) {
        Optional<byte[]> value = Optional.of(item.path("value").asText(""))
                .map(text -> Base64.getDecoder().decode(text))
                .filter(bytes -> bytes.length > 0);
        return new KeyedRecord(
                item.path("key").asText(), value, item.path("offset").asLong());
    }

    private static String topicName(Topic topic) {
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
