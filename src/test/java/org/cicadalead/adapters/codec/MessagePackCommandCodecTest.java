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
    void decodesWhatItEncoded() {
        CommandEnvelope envelope = publication(CommandEnvelope.CURRENT_FORMAT);
        assertEquals(Optional.of(envelope), codec.decode(codec.encode(envelope)));
    }

    @Test
    void encodesEqualCommandsEqually() {
        assertArrayEquals(
                codec.encode(publication(CommandEnvelope.CURRENT_FORMAT)),
                codec.encode(publication(CommandEnvelope.CURRENT_FORMAT)));
    }

    @Test
    void doesNotReadALaterFormat() {
        assertTrue(codec.decode(codec.encode(publication(CommandEnvelope.CURRENT_FORMAT + 1)))
                .isEmpty());
    }

    @Test
    void doesNotReadADamagedRecord() {
        byte[] record = codec.encode(publication(CommandEnvelope.CURRENT_FORMAT));
        assertTrue(
                codec.decode(java.util.Arrays.copyOf(record, record.length / 2)).isEmpty());
    }

    private static CommandEnvelope publication(int format) {
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
