package org.cicadalead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.cicadalead.model.work.FleetPlan;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.junit.jupiter.api.Test;

/** Guards against records of other writers that are taken for what they aren't, or that end their reader. */
class OddRecordsTest {
    private final PlatformRecordCodec codec = new PlatformRecordCodec();

    private static KeyedRecord entry(String key, String value) {
        return KeyedRecord.of(key, value.getBytes(StandardCharsets.UTF_8));
    }

    /** A configuration with an odd row and an odd limit still puts the others in force. */
    @Test
    void readsRoutesBesideOddOnes() {
        for (String odd : OddRecords.values()) {
            if (odd.equals("{") || odd.equals(OddRecords.nested(10_000))) {
                continue;
            }
            String text = "{\"version\":3,\"routes\":[" + odd
                    + ",{\"name\":\"queue\",\"host\":\"jobs.example\",\"pathPrefix\":\"/plan/\","
                    + "\"service\":\"planning\",\"timeoutMs\":" + odd + ",\"priority\":" + odd + ",\"maxAttempts\":"
                    + odd + ",\"slackFactor\":"
                    + odd + "}],\"services\":[" + odd + ",{\"name\":\"planning\",\"standby\":" + odd
                    + "}],\"limits\":{\"maxBodyBytes\":" + odd + "},\"tenants\":[" + odd
                    + ",{\"name\":\"account\",\"weight\":" + odd + ",\"apiKeys\":[\"key\"," + odd + "]}]}";
            FleetPlan plan = codec.decodePlan(entry("config", text)).orElseThrow(() -> new AssertionError(odd));
            assertEquals(
                    Optional.of("queue"),
                    plan.findQueue("jobs.example", "/plan/1").map(queue -> queue.name()),
                    odd);
            assertTrue(plan.services().contains("planning"), odd);
            assertTrue(plan.maximumBodyBytes() > 0, () -> odd + " limits bodies to " + plan.maximumBodyBytes());
            assertTrue(plan.findQueue("jobs.example", "/plan/1").orElseThrow().timeoutMilliseconds() >= 0, odd);
            plan.accounts()
                    .orElseThrow()
                    .find("account")
                    .ifPresent(account ->
                            assertTrue(account.weight() >= 0 && Double.isFinite(account.weight()), () -> odd));
        }
    }

    @Test
    void namesNoConfigurationByVersionThatIsNoNumber() {
        for (String odd : OddRecords.values()) {
            boolean isVersion =
                    odd.equals("7") || odd.equals("0") || odd.equals("9007199254740992") || odd.equals("1e-999999999");
            assertEquals(
                    isVersion,
                    codec.decodePlan(entry("config", "{\"version\":" + odd + "}"))
                            .isPresent(),
                    odd.substring(0, Math.min(40, odd.length())));
        }
    }

    @Test
    void namesNoWaveByOddNumber() {
        for (String odd : List.of("9223372036854775808", "-1", "1.5", "\"7\"", "1e999999999", "9".repeat(900))) {
            String text = "{\"waveNo\":" + odd + ",\"machines\":[\"m1\"],\"termS\":3,\"cap\":1}";
            assertEquals(Optional.empty(), codec.decodeWave(entry("wave/1", text)), odd);
        }
        String oddRows = "{\"waveNo\":1,\"machines\":[\"m1\",7,[],null],\"termS\":1e999999999,\"cap\":-9}";
        assertTrue(codec.decodeWave(entry("wave/1", oddRows)).isEmpty(), "a wave without an end");
    }

    @Provide
    Arbitrary<String> documents() {
        Arbitrary<String> scalar = Arbitraries.of(OddRecords.values());
        Arbitrary<String> name = Arbitraries.of(
                "service",
                "address",
                "zone",
                "state",
                "capacity",
                "cpu",
                "memMb",
                "gpu",
                "labels",
                "born",
                "clockMs",
                "version",
                "routes",
                "services",
                "limits",
                "tenants",
                "waveNo",
                "machines",
                "termS",
                "cap",
                "spec",
                "jobSteps",
                "count",
                "dependsOn",
                "repeatCount",
                "name",
                "apiKeys");
        return Arbitraries.recursive(
                () -> scalar,
                inner -> Arbitraries.oneOf(
                        Combinators.combine(name, inner).as((field, value) -> "{\"" + field + "\":" + value + "}"),
                        Combinators.combine(name, inner, name, inner)
                                .as((first, value, second, other) ->
                                        "{\"" + first + "\":" + value + ",\"" + second + "\":" + other + "}"),
                        inner.list().ofMaxSize(3).map(rows -> "[" + String.join(",", rows) + "]")),
                0,
                4);
    }

    private void readEverywhere(byte[] value) {
        KeyedRecord stored = KeyedRecord.of("wave/1", value);
        assertNotNull(codec.decodeHost(stored));
        assertNotNull(codec.decodePlan(KeyedRecord.of("config", value)));
        assertNotNull(codec.decodeWave(stored));
        assertNotNull(codec.decodeCompletedWave(stored));
        assertNotNull(JobBodyReader.read("job", JobBodyReaderTest.QUEUE, Optional.empty(), value, 1));
    }

    @Property(tries = 2000, seed = "3321904417723958101")
    void readsAnyBytesWithoutFailure(@ForAll byte[] value) {
        readEverywhere(value);
    }

    @Property(tries = 2000, seed = "-6120947351220846113")
    void readsAnyDocumentWithoutFailure(@ForAll("documents") String document) {
        readEverywhere(document.getBytes(StandardCharsets.UTF_8));
    }
}
