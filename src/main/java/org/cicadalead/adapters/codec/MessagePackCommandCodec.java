package org.cicadalead.adapters.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.ports.CommandCodec;

/** Encodes and decodes commands as MessagePack of a limited size. Immutable and safe for use by several threads. */
public final class MessagePackCommandCodec implements CommandCodec {
    private final ObjectMapper mapper = DomainMappers.messagePack();

    @Override
    public byte[] encode(CommandEnvelope envelope) {
        byte[] payload;
        try {
            payload = mapper.writeValueAsBytes(envelope);
        } catch (JsonProcessingException failure) {
            throw new CicadaleadException(ErrorKind.INTERNAL, "The command cannot be encoded", failure);
        }
        if (payload.length > RecordBounds.MAX_RECORD_BYTES) {
            throw new CicadaleadException(
                    ErrorKind.BODY_TOO_LARGE,
                    "The command has " + payload.length + " bytes and a record holds at most "
                            + RecordBounds.MAX_RECORD_BYTES + "; publish fewer files at once");
        }
        return payload;
    }

    @Override
    public Optional<CommandEnvelope> decode(byte[] payload) {
        if (!RecordBounds.isWholeValue(payload, RecordBounds.MAX_RECORD_BYTES)) {
            return Optional.empty();
        }
        try {
            return Optional.ofNullable(mapper.readValue(payload, CommandEnvelope.class))
                    .filter(envelope -> envelope.formatVersion() == CommandEnvelope.CURRENT_FORMAT);
        } catch (IOException | RuntimeException damaged) {
            return Optional.empty();
        }
    }
}
