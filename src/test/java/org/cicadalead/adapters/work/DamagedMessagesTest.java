package org.cicadalead.adapters.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cicadalead.model.work.JobAccess;
import org.cicadalead.model.work.LeaderHead;
import org.cicadalead.model.work.LeaderRecord;
import org.cicadalead.model.work.QueueTerms;
import org.cicadalead.model.work.StepSpecification;
import org.cicadalead.model.work.WaveProgress;
import org.cicadalead.model.work.WorkPhase;
import org.cicadalead.model.work.WorkProgress;
import org.cicadalead.model.work.WorkSubmission;
import org.cicadalead.ports.RecordStore.AppendOutcome;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.junit.jupiter.api.Test;

/** Guards against stored records and messages of peers that end, or delay, the thread that decodes them. */
class DamagedMessagesTest {
    private static final int DEEP = 200_000;
    private static final byte ARRAY_OF_ONE = (byte) 0x91;
    private static final List<Class<?>> TYPES = List.of(
            WorkSubmission.class,
            WorkProgress.class,
            WaveProgress.class,
            JobAccess.class,
            LeaderRecord.class,
            PeerRequest.class,
            PeerReply.class);

    private final List<String> problems = new ArrayList<>();
    private final WorkCodec codec = new WorkCodec(problems::add);

    private static byte[] nested(byte[] opening, int depth) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int level = 0; level < depth; level++) {
            bytes.writeBytes(opening);
        }
        bytes.write(0);
        return bytes.toByteArray();
    }

    /** A map with one entry more than the given ones, whose value is raw bytes; the map must have under 15 entries. */
    private static byte[] withRawField(byte[] map, String name, byte[] value) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(map[0] + 1);
        bytes.write(0xa0 | name.length());
        bytes.writeBytes(name.getBytes(java.nio.charset.StandardCharsets.US_ASCII));
        bytes.writeBytes(value);
        bytes.write(map, 1, map.length - 1);
        return bytes.toByteArray();
    }

    private static List<byte[]> oddValues() {
        byte[] length = {0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff};
        List<byte[]> values = new ArrayList<>();
        // Headers of an array, a map, bytes, a string and an extension that announce 2 GiB.
        for (int header : List.of(0xdd, 0xdf, 0xc6, 0xdb, 0xc9)) {
            values.add(new byte[] {(byte) header, length[0], length[1], length[2], length[3], 1, 1});
        }
        values.add(nested(new byte[] {ARRAY_OF_ONE}, DEEP));
        values.add(nested(new byte[] {(byte) 0x81, (byte) 0xa1, 'a'}, DEEP));
        values.add(new byte[] {(byte) 0xc1});
        values.add(new byte[] {(byte) 0xd4, 1, 1});
        values.add(new byte[] {(byte) 0xcf, -1, -1, -1, -1, -1, -1, -1, -1});
        values.add(new byte[] {(byte) 0xcb, 0x7f, (byte) 0xf8, 0, 0, 0, 0, 0, 0});
        values.add(new byte[] {(byte) 0xc0});
        return values;
    }

    @Test
    void readsNoMessageOfOddValue() {
        int cases = 0;
        for (byte[] value : oddValues()) {
            // Every part of an access may be absent, which cancellations do not rely on.
            for (Class<?> type :
                    TYPES.stream().filter(type -> type != JobAccess.class).toList()) {
                assertEquals(Optional.empty(), codec.decode(value, type), () -> type + " " + value[0]);
                cases++;
            }
            assertEquals(Optional.empty(), codec.decodeLeaderHead(value));
            cases++;
        }
        assertTrue(problems.size() >= cases - TYPES.size(), "all but an absent value are reported");
        problems.forEach(problem -> assertTrue(problem.length() < 1_000, "a problem has a bounded length"));
    }

    private static Map<String, Object> leader() {
        return new HashMap<>(Map.of("epoch", 7L, "process", "process", "address", "address", "resigned", false));
    }

    @Test
    void readsNoLeaderWhoseHeadHasOddValue() {
        for (byte[] value : oddValues()) {
            for (String name : leader().keySet()) {
                Map<String, Object> rest = leader();
                rest.remove(name);
                assertEquals(
                        Optional.empty(), codec.decodeLeaderHead(withRawField(codec.encode(rest), name, value)), name);
            }
        }
        for (Object epoch : List.of(-1, 1.5, "7", true)) {
            Map<String, Object> odd = leader();
            odd.put("epoch", epoch);
            assertEquals(Optional.empty(), codec.decodeLeaderHead(codec.encode(odd)), () -> "epoch " + epoch);
        }
    }

    /** A field of another writer or a later version before the head. */
    @Test
    void readsLeaderBehindUnknownFields() {
        byte[] encoded = codec.encode(leader());
        LeaderHead head = new LeaderHead(7, "process", "address", false);
        assertEquals(Optional.of(head), codec.decodeLeaderHead(encoded));
        for (byte[] value : List.of(
                nested(new byte[] {ARRAY_OF_ONE}, DEEP),
                new byte[] {(byte) 0xc0},
                new byte[] {(byte) 0xd4, 1, 1},
                new byte[] {(byte) 0xc4, 2, 1, 1})) {
            assertEquals(Optional.of(head), codec.decodeLeaderHead(withRawField(encoded, "other", value)));
        }
    }

    private static WorkSubmission submission() {
        return new WorkSubmission(
                "job",
                "queue",
                "service",
                new QueueTerms(0, 1, 1, 1, Optional.empty()),
                "text",
                List.of(new StepSpecification(
                        1,
                        1,
                        1,
                        0,
                        1,
                        List.of(),
                        false,
                        false,
                        false,
                        Optional.empty(),
                        Optional.empty(),
                        0,
                        false,
                        false,
                        Optional.empty(),
                        0,
                        false,
                        0)),
                0,
                0,
                0,
                0);
    }

    private static List<Object> messages() {
        return List.of(
                submission(),
                new WorkProgress(
                        "job",
                        1,
                        WorkPhase.RUNNING,
                        Map.of("0", List.of(1)),
                        Map.of("0.0", List.of(1L)),
                        Map.of("0.0", 1L),
                        Map.of("0.0", "checkpoint"),
                        Map.of()),
                JobAccess.of(Optional.of("account")),
                new LeaderRecord(1, "process", "address", false, Map.of(), Optional.empty(), Optional.of(1L)),
                new PeerRequest(PeerRequest.Kind.STORE, "name", Map.of("key", Optional.of(new byte[] {1}))),
                new PeerReply(true, Optional.of(WorkPhase.RUNNING), 1, AppendOutcome.STORED));
    }

    @Property(tries = 3000, seed = "-4418325570946372281")
    void decodesDamagedMessageWithoutFailure(@ForAll long seed) {
        Random random = new Random(seed);
        List<Object> all = messages();
        byte[] encoded = codec.encode(all.get(random.nextInt(all.size()))).clone();
        for (int remaining = 1 + random.nextInt(4); remaining > 0; remaining--) {
            encoded[random.nextInt(encoded.length)] = (byte) random.nextInt(256);
        }
        byte[] damaged = Arrays.copyOf(encoded, encoded.length - random.nextInt(encoded.length / 2));
        TYPES.forEach(type -> assertNotNull(codec.decode(damaged, type)));
        assertNotNull(codec.decodeLeaderHead(damaged));
    }

    @Property(tries = 2000, seed = "7746301994485126035")
    void decodesAnyBytesWithoutFailure(@ForAll byte[] bytes) {
        TYPES.forEach(type -> assertNotNull(codec.decode(bytes, type)));
        assertNotNull(codec.decodeLeaderHead(bytes));
    }

    /** A message without a part that its users rely on failed them where they used it. */
    @Test
    void readsNoMessageWithoutRequiredParts() {
        Map<Class<?>, List<String>> required = Map.of(
                WorkSubmission.class, List.of("job", "queue", "service", "terms", "payload", "steps"),
                WorkProgress.class, List.of("job", "phase", "done", "failedAttempts", "attempts", "checkpoints"),
                LeaderRecord.class, List.of("process", "address", "hosts"),
                PeerRequest.class, List.of("kind", "name", "records"),
                PeerReply.class, List.of("stored"));
        for (Object message : messages()) {
            for (String name : required.getOrDefault(message.getClass(), List.of())) {
                Map<String, Object> fields = toFields(message);
                assertTrue(fields.containsKey(name), () -> message.getClass() + " " + name);
                fields.remove(name);
                assertEquals(
                        Optional.empty(),
                        codec.decode(codec.encode(fields), message.getClass()),
                        () -> message.getClass().getSimpleName() + " without " + name);
            }
        }
    }

    @SuppressWarnings("unchecked")
    private Map<String, Object> toFields(Object message) {
        return new HashMap<>(codec.decode(codec.encode(message), Map.class).orElseThrow());
    }

    @Test
    void readsCancellationBesideOddOnes() {
        JobRecords records = new JobRecords(codec);
        for (byte[] value : oddValues()) {
            assertFalse(
                    records.decodeCancellation(KeyedRecord.of("c/job", value)).isPresent());
            assertFalse(records.decodeSubmission(KeyedRecord.of("s/job", value)).isPresent());
            assertFalse(records.decodeProgress(KeyedRecord.of("p/job", value)).isPresent());
            assertFalse(records.decodeWave(KeyedRecord.of("w/1", value)).isPresent());
        }
        assertTrue(records.decodeCancellation(records.createCancellation("job", JobAccess.UNRESTRICTED))
                .isPresent());
    }

    /** The key says which job a record is about. */
    @Test
    void readsNoJobFromRecordOfAnother() {
        JobRecords records = new JobRecords(codec);
        byte[] value = codec.encode(submission());
        assertTrue(records.decodeSubmission(KeyedRecord.of("s/job", value)).isPresent());
        assertEquals(Optional.empty(), records.decodeSubmission(KeyedRecord.of("s/other", value)));
    }
}
