package org.cicadalead.adapters.codec;

import static org.cicadalead.support.Commands.change;
import static org.cicadalead.support.Commands.envelope;
import static org.cicadalead.support.Commands.publish;
import static org.cicadalead.support.Commands.team;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cicadalead.logic.state.SharedStateFold;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.state.SharedState;
import org.junit.jupiter.api.Test;

class DamagedRecordsTest {
    private static final int MAX_CHANGED_BYTES = 4;

    private final MessagePackCommandCodec codec = new MessagePackCommandCodec();

    @Property(tries = 3000, seed = "5523081164320971142")
    void foldsOrRejectsCorruptedRecordWithoutInternalError(@ForAll long seed) {
        byte[] record = corrupt(encodeValidRecord(), new Random(seed));
        Optional<CommandEnvelope> decoded = codec.decode(record);
        CommandOutcome outcome =
                SharedStateFold.apply(SharedState.empty(), 1, decoded).outcome();
        boolean isInternalError =
                outcome instanceof CommandOutcome.Rejected rejected && rejected.kind() == ErrorKind.INTERNAL;
        assertFalse(isInternalError, () -> outcome + " of " + decoded);
    }

    @Property(tries = 1000, seed = "-2209174531906612340")
    void doesNotDecodeRandomBytes(@ForAll byte[] record) {
        assertTrue(codec.decode(record).isEmpty());
    }

    @Test
    void rejectsLengthBeyondRecordWithoutReservingMemory() {
        byte[] twoGigabytesOfBinary = {(byte) 0xc6, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 1};
        assertTrue(codec.decode(twoGigabytesOfBinary).isEmpty());
    }

    @Test
    void rejectsNullForRequiredValue() throws Exception {
        byte[] record = DomainMappers.messagePack()
                .writeValueAsBytes(DomainMappers.json()
                        .readTree("{\"formatVersion\":1,\"identifier\":\"a\",\"writer\":\"w\",\"readOffset\":0,"
                                + "\"command\":{\"type\":\"publish\",\"changes\":"
                                + "[{\"fileName\":null,\"replacedVersion\":0,\"unit\":null}]}}"));
        assertEquals(Optional.empty(), codec.decode(record));
    }

    @Test
    void rejectsOversizedRecord() {
        assertTrue(codec.decode(new byte[RecordBounds.MAX_RECORD_BYTES + 1]).isEmpty());
    }

    private byte[] encodeValidRecord() {
        return codec.encode(
                envelope("a", 0, publish(change(team("kitchens.toml", 3), 0))).orElseThrow());
    }

    private static byte[] corrupt(byte[] record, Random random) {
        byte[] corrupted = record.clone();
        for (int remaining = 1 + random.nextInt(MAX_CHANGED_BYTES); remaining > 0; remaining--) {
            corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt(256);
        }
        return corrupted;
    }
}
