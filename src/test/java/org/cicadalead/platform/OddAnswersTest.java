package org.cicadalead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.net.http.HttpClient;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cicadalead.adapters.http.HttpServers;
import org.cicadalead.model.work.HostListing;
import org.cicadalead.model.work.MachineEntry;
import org.cicadalead.ports.HostOrders;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.Topic;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against answers whose readers fail, lose the other rows, or take them for what they aren't. */
class OddAnswersTest {
    private static final long TIMEOUT_SECONDS = 20;
    private static final String TASK = "00000000000000a1.0.0.";

    static {
        // Read once by the client, on which other tests of the process rely.
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    private final PlatformHttpClient client = new PlatformHttpClient(HttpClient.newHttpClient());
    private final AtomicInteger calls = new AtomicInteger();
    private volatile byte[] answer = new byte[0];
    private final HttpServer server = HttpServers.bind("127.0.0.1", 0);
    private final String address;

    OddAnswersTest() {
        server.createContext("/", exchange -> {
            try (exchange) {
                calls.incrementAndGet();
                exchange.getRequestBody().readAllBytes();
                LoopbackPlatform.send(exchange, PlatformHttpClient.OK, answer);
            }
        });
        server.start();
        address = "127.0.0.1:" + server.getAddress().getPort();
    }

    @AfterEach
    void stop() {
        server.stop(0);
    }

    private void answerWith(String text) {
        answer = text.getBytes(StandardCharsets.UTF_8);
    }

    private HostOrders.PollResult poll(String target) throws Exception {
        return new HostClient(client)
                .poll(new HostOrders.Target("host", target, 1), OptionalLong.empty(), 0, Duration.ZERO)
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private RecordStore.Snapshot readSnapshot() throws Exception {
        return new StoreClient(client, address).snapshot(Topic.HOSTS).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void keepsRowsOfListingBesideOddOnes() throws Exception {
        for (String odd : List.of(
                "7",
                "null",
                "{}",
                "[]",
                "[1,2,3,4,5]",
                "[[],[],[],[],[]]",
                "[\"x\",\"y\",\"z\",\"a\",\"b\"]",
                "[59,\"" + TASK + "2\",9223372036854775808,\"done\",\"\"]",
                "[59,\"" + TASK + "99999999999\",1,\"done\",\"\"]",
                OddRecords.nested(900))) {
            answerWith("{\"clockMs\":5,\"born\":3,\"active\":[" + odd + ",[\"" + TASK + "0\",1,\"\",41,0]],"
                    + "\"ended\":[" + odd + ",[58,\"" + TASK + "1\",1,\"done\",\"\"]]}");
            HostOrders.PollResult result = poll(address);
            assertEquals(HostOrders.OrderOutcome.CONFIRMED, result.outcome(), odd);
            HostListing listing = result.listing().orElseThrow();
            assertEquals(
                    List.of(0),
                    listing.active().stream()
                            .map(run -> run.run().task().index())
                            .toList(),
                    odd);
            assertEquals(
                    List.of(58L),
                    listing.ended().stream().map(run -> run.number()).toList(),
                    odd);
        }
    }

    /** A list without the runs that a host has makes them start again elsewhere. */
    @Test
    void takesNoOddAnswerForListWithoutRuns() throws Exception {
        for (String odd : List.of(
                "",
                "{",
                "7",
                "[]",
                "null",
                "\"text\"",
                OddRecords.nested(10_000),
                "{\"clockMs\":5,\"born\":3,\"active\":7,\"ended\":[]}",
                "{\"clockMs\":5,\"born\":3,\"active\":[],\"ended\":{\"a\":1}}",
                "{\"clockMs\":\"5\",\"born\":3,\"active\":[],\"ended\":[]}",
                "{\"clockMs\":9223372036854775808,\"born\":3,\"active\":[],\"ended\":[]}",
                "{\"clockMs\":5,\"born\":\"3\",\"active\":[],\"ended\":[]}",
                "{\"clockMs\":5,\"born\":-3,\"active\":[],\"ended\":[]}",
                "{\"clockMs\":5,\"born\":3.5,\"active\":[],\"ended\":[]}",
                "{\"clockMs\":5,\"born\":9223372036854775808,\"active\":[],\"ended\":[]}")) {
            answerWith(odd);
            HostOrders.PollResult result = poll(address);
            assertEquals(
                    HostOrders.OrderOutcome.UNKNOWN, result.outcome(), odd.substring(0, Math.min(80, odd.length())));
            assertEquals(Optional.empty(), result.listing());
        }
    }

    /** A run of which the end cannot be read would start again, though it may be done. */
    @Test
    void takesNoListThatDoesNotTellHowRunHasEnded() throws Exception {
        for (String odd : List.of(
                "[59,\"" + TASK + "2\",1,\"exploded\",\"\"]",
                "[\"59\",\"" + TASK + "2\",1,\"done\",\"\"]",
                "[-1,\"" + TASK + "2\",1,\"done\",\"\"]",
                "[9223372036854775808,\"" + TASK + "2\",1,\"done\",\"\"]",
                "[1e999999999,\"" + TASK + "2\",1,\"done\",\"\"]")) {
            answerWith("{\"clockMs\":5,\"born\":3,\"active\":[],\"ended\":[" + odd + "]}");
            assertEquals(HostOrders.OrderOutcome.UNKNOWN, poll(address).outcome(), odd);
        }
    }

    @Test
    void reportsPollOfOddAddressAsFailed() throws Exception {
        for (String odd :
                List.of("127.0.0.1:70000", "127.0.0.1:99999999999", "....:1", "1.2.3.4.5:80", "a b:1", "", ":1")) {
            assertEquals(Optional.empty(), poll(odd).listing(), odd);
        }
        HostOrders.Target target = new HostOrders.Target("odd\nname", address, 1);
        assertEquals(
                Optional.empty(),
                new HostClient(client)
                        .poll(target, OptionalLong.empty(), 0, Duration.ZERO)
                        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .listing());
    }

    @Test
    void keepsRecordsOfSnapshotBesideOddOnes() throws Exception {
        for (String odd : List.of(
                "7",
                "null",
                "[]",
                "{}",
                "{\"key\":7,\"value\":\"e30=\",\"offset\":1}",
                "{\"key\":\"odd\",\"value\":\"%%%\",\"offset\":1}",
                "{\"key\":\"odd\",\"value\":7,\"offset\":1}",
                "{\"key\":\"odd\",\"value\":[],\"offset\":1}",
                "{\"key\":\"odd\",\"value\":\"e30=\",\"offset\":\"1\"}")) {
            answerWith("{\"items\":[" + odd + ",{\"key\":\"worker\",\"value\":\"e30=\",\"offset\":2}],"
                    + "\"hasMore\":false,\"endOffset\":3}");
            RecordStore.Snapshot snapshot = readSnapshot();
            assertTrue(snapshot.complete(), odd);
            KeyedRecord last = snapshot.records().get(snapshot.records().size() - 1);
            assertEquals("worker", last.key(), odd);
            assertEquals("{}", new String(last.value().orElseThrow(), StandardCharsets.UTF_8), odd);
            assertEquals(3, snapshot.nextOffset(), odd);
        }
    }

    /** A topic that is taken for empty loses every job or worker that is in it. */
    @Test
    void takesNoOddAnswerForEmptyTopic() throws Exception {
        for (String odd : List.of(
                "",
                "{",
                "7",
                "{\"items\":7,\"endOffset\":3}",
                "{\"items\":[],\"endOffset\":\"3\"}",
                "{\"items\":[],\"endOffset\":-3}",
                "{\"items\":[],\"endOffset\":9223372036854775808}",
                OddRecords.nested(10_000))) {
            answerWith(odd);
            assertFalse(readSnapshot().complete(), odd.substring(0, Math.min(60, odd.length())));
        }
    }

    @Test
    void readsRecordsBesideOneWithoutContent() throws Exception {
        byte[] content = {1, 'k', 'v'};
        answer = ByteBuffer.allocate(16 + 4 + 4 + content.length)
                .putLong(2)
                .putLong(0)
                .putInt(0)
                .putInt(content.length)
                .put(content)
                .array();
        RecordStore.ReadResult result = new StoreClient(client, address)
                .read(Topic.JOBS, 0, Duration.ZERO)
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEquals(RecordStore.ReadOutcome.READ, result.outcome());
        assertEquals(2, result.nextOffset());
        assertEquals(
                List.of("k"), result.records().stream().map(KeyedRecord::key).toList());
    }

    @Test
    void failsReadOfRecordWithNegativeLength() throws Exception {
        answer = ByteBuffer.allocate(24)
                .putLong(2)
                .putLong(0)
                .putInt(-5)
                .putInt(0)
                .array();
        assertEquals(
                RecordStore.ReadOutcome.FAILED,
                new StoreClient(client, address)
                        .read(Topic.JOBS, 0, Duration.ZERO)
                        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .outcome());
    }

    private Optional<List<MachineEntry>> listMachines() throws Exception {
        return new MachineClient(client, address, "node", 1).list().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void keepsMachinesBesideOddRows() throws Exception {
        for (String odd : List.of(
                "7",
                "null",
                "[]",
                "{}",
                "{\"hostMachine\":7,\"pool\":\"a\",\"state\":\"up\",\"id\":\"w\"}",
                "{\"hostMachine\":\"\",\"pool\":\"a\",\"state\":\"up\",\"id\":\"w\"}",
                "{\"hostMachine\":\"m2\",\"pool\":\"a\",\"state\":\"exploded\",\"id\":\"w\"}",
                "{\"hostMachine\":\"m2\",\"pool\":\"a\",\"state\":3,\"id\":\"w\"}",
                "{\"hostMachine\":\"m2\",\"pool\":[],\"state\":\"up\",\"id\":\"w\"}",
                "{\"hostMachine\":\"m2\",\"pool\":\"a\",\"state\":\"up\",\"id\":[]}")) {
            answerWith("{\"machines\":[" + odd
                    + ",{\"hostMachine\":\"m1\",\"pool\":\"planning\",\"state\":\"up\",\"id\":\"worker\"}]}");
            assertEquals(
                    List.of("m1"),
                    listMachines().orElseThrow().stream()
                            .map(MachineEntry::machine)
                            .toList(),
                    odd);
        }
    }

    @Test
    void takesNoOddAnswerForEmptyListOfMachines() throws Exception {
        for (String odd : List.of("", "{", "7", "{\"machines\":7}", OddRecords.nested(10_000))) {
            answerWith(odd);
            assertEquals(Optional.empty(), listMachines(), odd.substring(0, Math.min(60, odd.length())));
        }
    }

    @Test
    void endsListOfMachinesWhosePagesNeverEnd() throws Exception {
        answerWith("{\"machines\":[{\"hostMachine\":\"m1\",\"pool\":\"a\",\"state\":\"up\",\"id\":\"w\"}],"
                + "\"nextToken\":\"again\"}");
        assertEquals(Optional.empty(), listMachines());
        assertTrue(calls.get() <= 2, () -> calls + " pages");
    }

    @Test
    void keepsTicketsBesideOddRows() throws Exception {
        for (String odd :
                List.of("7", "null", "{}", "[]", "[\"w\"]", "[7,8]", "[[],[]]", "[\"w2\",{}]", "[\"\",\"t\"]")) {
            answerWith("{\"allowed\":[" + odd + ",[\"worker\",\"ticket\"]]}");
            assertEquals(
                    Optional.of(Map.of("worker", "ticket")),
                    new AdvisorClient(client, address)
                            .ask("step", List.of("worker"))
                            .get(TIMEOUT_SECONDS, TimeUnit.SECONDS),
                    odd);
        }
    }
}
