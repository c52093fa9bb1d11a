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

/** Client of the platform's record store. Safe for use by several threads. */
final class StoreClient implements RecordStore {
    /** Time limit of an append: three times its slowest response while the platform slows the store down. */
    private static final Duration APPEND_TIMEOUT = Duration.ofMillis(900);

    /** Time limit of a read, in addition to the time for which the store is asked to wait for records. */
    private static final Duration READ_TIMEOUT = Duration.ofMillis(900);

    /** Name under which the leader writes. */
    private static final String WRITER_NAME = "scheduler";

    private static final String PART_PARAMETER = "&part=0";
    private static final int LENGTH_BYTES = 4;
    private static final int HEADER_BYTES = 16;
    private static final int BYTE_MASK = 0xff;

    private final PlatformHttpClient client;
    private final String address;

    StoreClient(PlatformHttpClient client, String address) {
        this.client = client;
        this.address = address;
    }

    @Override
    public CompletableFuture<AppendResult> append(Topic topic, List<KeyedRecord> records, OptionalLong expectedEnd) {
        String conditionParameter = expectedEnd.isPresent() ? "&at=" + expectedEnd.getAsLong() : "";
        return client.send(
                        "POST",
                        address,
                        "/v1/log-append?topic=" + topicName(topic) + PART_PARAMETER + conditionParameter,
                        encodeRecords(records),
                        Map.of(),
                        APPEND_TIMEOUT)
                .thenApply(response -> response.map(StoreClient::toAppended).orElse(createUnknownOutcome()));
    }

    @Override
    public CompletableFuture<AppendResult> appendFenced(
            Topic topic, List<KeyedRecord> records, WriterPosition position) {
        String writerParameters =
                "&producer=" + WRITER_NAME + "&epoch=" + position.epoch() + "&seqNo=" + position.sequence();
        return client.send(
                        "POST",
                        address,
                        "/v1/log-append?topic=" + topicName(topic) + PART_PARAMETER + writerParameters,
                        encodeRecords(records),
                        Map.of(),
                        APPEND_TIMEOUT)
                .thenApply(response -> response.map(storeResponse -> toAppendedByWriter(storeResponse, position))
                        .orElse(createUnknownOutcome()));
    }

    private static AppendResult toAppendedByWriter(PlatformHttpClient.Response response, WriterPosition position) {
        if (response.status() != PlatformHttpClient.CONFLICT) {
            return toAppended(response);
        }
        JsonNode body = response.json();
        if ("fenced".equals(body.path("reason").asText())) {
            return new AppendResult(AppendOutcome.FENCED, -1);
        }
        return new AppendResult(
                AppendOutcome.OUT_OF_SEQUENCE, body.path("seqNo").asLong(position.sequence() + 1));
    }

    private static AppendResult toAppended(PlatformHttpClient.Response response) {
        JsonNode body = response.json();
        return switch (response.status()) {
            case PlatformHttpClient.OK ->
                new AppendResult(AppendOutcome.STORED, body.path("endOffset").asLong());
            case PlatformHttpClient.PRECONDITION_FAILED ->
                new AppendResult(AppendOutcome.CONFLICT, body.path("endOffset").asLong());
            case PlatformHttpClient.NOT_SENT,
                    PlatformHttpClient.BAD_REQUEST,
                    PlatformHttpClient.CONFLICT,
                    PlatformHttpClient.TOO_MANY_REQUESTS,
                    PlatformHttpClient.SERVICE_UNAVAILABLE,
                    PlatformHttpClient.INSUFFICIENT_STORAGE -> new AppendResult(AppendOutcome.REFUSED, -1);
            default -> createUnknownOutcome();
        };
    }

    private static AppendResult createUnknownOutcome() {
        return new AppendResult(AppendOutcome.UNKNOWN, -1);
    }

    @Override
    public CompletableFuture<ReadResult> read(Topic topic, long fromOffset, Duration wait) {
        String path = "/v1/log-read?topic=" + topicName(topic) + PART_PARAMETER + "&source=" + fromOffset
                + (wait.isZero() ? "" : "&waitMs=" + wait.toMillis());
        return client.send("GET", address, path, new byte[0], Map.of(), READ_TIMEOUT.plus(wait))
                .thenApply(response -> response.map(storeResponse -> parseSlice(storeResponse, fromOffset))
                        .orElse(createFailedSlice(fromOffset)));
    }

    private static ReadResult createFailedSlice(long fromOffset) {
        return new ReadResult(ReadOutcome.FAILED, List.of(), fromOffset);
    }

    private static ReadResult parseSlice(PlatformHttpClient.Response response, long fromOffset) {
        if (response.status() == PlatformHttpClient.GONE) {
            return new ReadResult(ReadOutcome.TRUNCATED, List.of(), fromOffset);
        }
        if (response.status() != PlatformHttpClient.OK || response.body().length < HEADER_BYTES) {
            return createFailedSlice(fromOffset);
        }
        ByteBuffer buffer = ByteBuffer.wrap(response.body());
        long endOffset = buffer.getLong();
        buffer.position(HEADER_BYTES);
        List<KeyedRecord> records = new ArrayList<>();
        long offset = fromOffset;
        while (buffer.remaining() >= LENGTH_BYTES) {
            int length = buffer.getInt();
            if (length < 0 || length > buffer.remaining()) {
                return createFailedSlice(fromOffset);
            }
            byte[] content = new byte[length];
            buffer.get(content);
            if (length > 0) {
                records.add(parseRecord(content, offset));
            }
            offset++;
        }
        boolean hasFurther = offset > fromOffset && offset < endOffset;
        return new ReadResult(ReadOutcome.READ, records, offset, hasFurther);
    }

    private static KeyedRecord parseRecord(byte[] content, long offset) {
        int keyLength = Math.min(content[0] & BYTE_MASK, content.length - 1);
        String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
        byte[] value = Arrays.copyOfRange(content, 1 + keyLength, content.length);
        return new KeyedRecord(key, value.length == 0 ? Optional.empty() : Optional.of(value), offset);
    }

    private static byte[] encodeRecords(List<KeyedRecord> records) {
        ByteArrayOutputStream encoded = new ByteArrayOutputStream();
        for (KeyedRecord keyedRecord : records) {
            byte[] key = keyedRecord.key().getBytes(StandardCharsets.UTF_8);
            byte[] value = keyedRecord.value().orElse(new byte[0]);
            ByteBuffer buffer = ByteBuffer.allocate(LENGTH_BYTES + 1 + key.length + value.length);
            buffer.putInt(1 + key.length + value.length)
                    .put((byte) key.length)
                    .put(key)
                    .put(value);
            encoded.writeBytes(buffer.array());
        }
        return encoded.toByteArray();
    }

    @Override
    public CompletableFuture<Snapshot> snapshot(Topic topic) {
        return readSnapshotPage(topic, "", OptionalLong.empty(), List.of());
    }

    /**
     * Reads one page of the newest records and then the following pages. Pages are not read at one moment: continuing
     * to read the log from the end offset that the first page reported misses no record.
     */
    private CompletableFuture<Snapshot> readSnapshotPage(
            Topic topic, String afterKey, OptionalLong firstEndOffset, List<KeyedRecord> earlierPages) {
        String path = "/v1/log-newest?topic=" + topicName(topic) + PART_PARAMETER
                + (afterKey.isEmpty() ? "" : "&dependsOn=" + URLEncoder.encode(afterKey, StandardCharsets.UTF_8));
        return client.send("GET", address, path, new byte[0], Map.of(), READ_TIMEOUT)
                .thenCompose(response -> {
                    Optional<Page> page = response.filter(answer -> answer.status() == PlatformHttpClient.OK)
                            .flatMap(answer -> parsePage(answer.json()));
                    boolean isStuck = page.isPresent()
                            && page.get().hasMore()
                            && page.get().records().isEmpty();
                    if (page.isEmpty() || isStuck) {
                        return CompletableFuture.completedFuture(new Snapshot(false, List.of(), 0));
                    }
                    long endOffset = firstEndOffset.orElse(page.get().endOffset());
                    List<KeyedRecord> records = new ArrayList<>(earlierPages);
                    records.addAll(page.get().records());
                    return page.get().hasMore()
                            ? readSnapshotPage(
                                    topic, records.get(records.size() - 1).key(), OptionalLong.of(endOffset), records)
                            : CompletableFuture.completedFuture(new Snapshot(true, records, endOffset));
                });
    }

    /** Returns a page of the newest records; empty if the answer is none. Items that name no record are left out. */
    private static Optional<Page> parsePage(JsonNode body) {
        if (!body.isObject()) {
            return Optional.empty();
        }
        try {
            List<KeyedRecord> records = CheckedJson.rowsOf(body.path("items")).stream()
                    .flatMap(item -> parseSnapshotItem(item).stream())
                    .toList();
            long endOffset = CheckedJson.wholeNumberOf(body.path("endOffset"), 0, CheckedJson.MAX_NUMBER);
            return Optional.of(new Page(records, body.path("hasMore").asBoolean(), endOffset));
        } catch (IllegalArgumentException ofAnotherType) {
            return Optional.empty();
        }
    }

    /** Returns the record of an item, whose value is one that no reader accepts if it cannot be read. */
    private static Optional<KeyedRecord> parseSnapshotItem(JsonNode item) {
        try {
            String key = CheckedJson.requireText(item.path("key"));
            long offset = CheckedJson.wholeNumberOf(item.path("offset"), 0, CheckedJson.MAX_NUMBER);
            return Optional.of(new KeyedRecord(key, parseValue(item.path("value")), offset));
        } catch (IllegalArgumentException ofAnotherType) {
            return Optional.empty();
        }
    }

    private static Optional<byte[]> parseValue(JsonNode value) {
        try {
            byte[] bytes = Base64.getDecoder().decode(CheckedJson.textOf(value));
            return Optional.of(bytes).filter(content -> content.length > 0);
        } catch (IllegalArgumentException unreadable) {
            return Optional.of(new byte[0]);
        }
    }

    /** A page of the newest records of a topic. */
    private record Page(List<KeyedRecord> records, boolean hasMore, long endOffset) {}

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
