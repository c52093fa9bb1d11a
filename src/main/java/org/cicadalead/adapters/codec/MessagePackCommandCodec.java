package org.cicadalead.adapters.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.ports.CommandCodec;

/** Encodes commands as MessagePack. Immutable and safe for use by several threads. */
public final class MessagePackCommandCodec implements CommandCodec {
    private final ObjectMapper mapper = DomainMappers.messagePack();

    @Override
    public byte[] encode(CommandEnvelope envelope) {
        try {
            return mapper.writeValueAsBytes(envelope);
        } catch (JsonProcessingException failure) {
            throw new CicadaleadException(ErrorKind.INTERNAL, "The command cannot be encoded", failure);
        }
    }

    @Override
    public Optional<CommandEnvelope> decode(byte[] payload) {
        try {
            return Optional.ofNullable(mapper.readValue(payload, CommandEnvelope.class))
                    .filter(envelope -> envelope.formatVersion() <= CommandEnvelope.CURRENT_FORMAT);
        } catch (IOException | RuntimeException damaged) {
            return Optional.empty();
        }
    }
}
