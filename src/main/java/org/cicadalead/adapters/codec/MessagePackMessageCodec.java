package org.cicadalead.adapters.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;

/**
 * Encodes and decodes the messages of calls between entry processes as MessagePack. Immutable and safe for use by
 * several threads.
 */
public final class MessagePackMessageCodec {
    private final ObjectMapper mapper = DomainMappers.messagePack();

    /** Encodes a message. */
    public byte[] encode(Object message) {
        try {
            return mapper.writeValueAsBytes(message);
        } catch (JsonProcessingException failure) {
            throw new CicadaleadException(ErrorKind.INTERNAL, "The message cannot be encoded", failure);
        }
    }

    /**
     * Decodes a message; throws an exception of kind {@code MALFORMED_REQUEST} when it is damaged or of another type.
     */
    public <T> T decode(byte[] payload, Class<T> type) {
        try {
            return mapper.readValue(payload, type);
        } catch (IOException damaged) {
            throw new CicadaleadException(ErrorKind.MALFORMED_REQUEST, "The message cannot be decoded", damaged);
        }
    }
}
