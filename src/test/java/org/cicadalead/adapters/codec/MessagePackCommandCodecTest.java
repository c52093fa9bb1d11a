package org.cicadalead.adapters.codec;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.cicadalead.adapters.quickstart.ExampleDeployment;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.ConfigurationCommand;
import org.cicadalead.model.command.ConfigurationCommand.UnitChange;
import org.cicadalead.model.identity.CommandIdentifier;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.junit.jupiter.api.Test;

class MessagePackCommandCodecTest {
    private final MessagePackCommandCodec codec = new MessagePackCommandCodec();

    @Test
    void decodesEncodedCommand() {
        CommandEnvelope envelope = createPublication(CommandEnvelope.CURRENT_FORMAT);
        assertEquals(Optional.of(envelope), codec.decode(codec.encode(envelope)));
    }

    @Test
    void encodesEqualCommandsToEqualBytes() {
        assertArrayEquals(
                codec.encode(createPublication(CommandEnvelope.CURRENT_FORMAT)),
                codec.encode(createPublication(CommandEnvelope.CURRENT_FORMAT)));
    }

    @Test
    void rejectsLaterFormat() {
        assertTrue(codec.decode(codec.encode(createPublication(CommandEnvelope.CURRENT_FORMAT + 1)))
                .isEmpty());
    }

    @Test
    void rejectsTruncatedRecord() {
        byte[] record = codec.encode(createPublication(CommandEnvelope.CURRENT_FORMAT));
        assertTrue(
                codec.decode(java.util.Arrays.copyOf(record, record.length / 2)).isEmpty());
    }

    private static CommandEnvelope createPublication(int format) {
        List<UnitChange> changes = ExampleDeployment.load("blue-mountain").units().stream()
                .map(unit -> new UnitChange(unit.fileName(), 0, Optional.of(unit)))
                .toList();
        return new CommandEnvelope(
                format,
                new CommandIdentifier("command-1"),
                new ProcessIdentifier("writer"),
                new ConfigurationCommand.Publish(changes));
    }
}
