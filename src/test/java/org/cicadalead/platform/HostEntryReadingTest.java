package org.cicadalead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.junit.jupiter.api.Test;

/** Guards against entries of other writers in the registry that are taken for hosts. */
class HostEntryReadingTest {
    private final PlatformRecordCodec codec = new PlatformRecordCodec();

    private static KeyedRecord entry(String key, String value) {
        return KeyedRecord.of(key, value.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void namesNoHostToUseByOddEntry() {
        List<String> taken = OddRecords.oddHosts().entrySet().stream()
                .filter(odd -> codec.decodeHost(entry("worker", odd.getValue())).isPresent())
                .map(Map.Entry::getKey)
                .map(name -> name.substring(0, Math.min(60, name.length())))
                .toList();
        assertEquals(List.of(), taken);
    }

    @Test
    void readsEntryOfHost() {
        HostEntry host =
                codec.decodeHost(entry("worker", OddRecords.VALID_HOST)).orElseThrow();
        assertEquals("127.0.0.1:1", host.address());
        assertEquals(4_000, host.capacity().milliCores());
        assertEquals(Optional.of("r1"), host.rack());
    }

    /** Values that are 0, false or empty are omitted. */
    @Test
    void readsEntryOfHostWithoutFieldsThatAreZero() {
        String text = "{\"service\":\"planning\",\"address\":\"127.0.0.1:1\",\"zone\":\"zone\",\"state\":\"draining\","
                + "\"born\":1,\"capacity\":{\"cpu\":4000,\"memMb\":8000}}";
        HostEntry host = codec.decodeHost(entry("worker", text)).orElseThrow();
        assertTrue(host.draining());
        assertEquals(0, host.capacity().accelerators());
    }
}
