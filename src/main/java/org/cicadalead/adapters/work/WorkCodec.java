package org.cicadalead.adapters.work;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.Optional;
import java.util.function.Consumer;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes what this program keeps in the store and sends to its peers. Unknown properties are ignored, so that a record
 * of a newer program can be read. Safe for use by several threads.
 */
public final class WorkCodec {
    private final ObjectMapper mapper = new ObjectMapper(new MessagePackFactory())
            .registerModule(new Jdk8Module())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private final Consumer<String> onUnreadable;

    /**
     * Creates a codec.
     *
     * @param unreadable is told of bytes that cannot be decoded, and why
     */
    @SuppressWarnings("deprecation")
    public WorkCodec(Consumer<String> unreadable) {
        this.onUnreadable = unreadable;
        mapper.disable(MapperFeature.AUTO_DETECT_IS_GETTERS);
    }

    /** Encodes a record. */
    public byte[] encode(Object message) {
        try {
            return mapper.writeValueAsBytes(message);
        } catch (JsonProcessingException failure) {
            throw new CicadaleadException(ErrorKind.INTERNAL, "The record cannot be encoded", failure);
        }
    }

    /** Decodes a record; empty when it is damaged or of another kind. */
    public <T> Optional<T> decode(byte[] bytes, Class<T> type) {
        try {
            return Optional.ofNullable(mapper.readValue(bytes, type));
        } catch (IOException damaged) {
            onUnreadable.accept(type.getSimpleName() + ": " + damaged.getMessage());
            return Optional.empty();
        }
    }
}
