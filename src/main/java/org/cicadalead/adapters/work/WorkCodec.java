package org.cicadalead.adapters.work;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.KeyDeserializer;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.cicadalead.adapters.codec.RecordBounds;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.work.HostClaim;
import org.cicadalead.model.work.KeyDigest;
import org.cicadalead.model.work.LeaderHead;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes records of the store and messages between peers. Unknown properties are ignored, so that records
 * of a newer version can be read. Safe for use by several threads.
 */
public final class WorkCodec {
    private static final String EPOCH = "epoch";
    private static final String PROCESS = "process";
    private static final String ADDRESS = "address";
    private static final String RESIGNED = "resigned";
    private static final Set<String> HEAD_PROPERTIES = Set.of(EPOCH, PROCESS, ADDRESS, RESIGNED);

    /** Maximum length of the description of a record that cannot be decoded, in characters. */
    private static final int MAX_PROBLEM_CHARACTERS = 500;

    private final ObjectMapper mapper = new ObjectMapper(new MessagePackFactory())
            .registerModule(new Jdk8Module())
            .registerModule(createKeyModule())
            .addMixIn(HostClaim.class, ClaimProperties.class)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private final Consumer<String> onUnreadable;

    /**
     * Creates a codec.
     *
     * @param onUnreadable receives a description of each record that cannot be decoded
     */
    @SuppressWarnings("deprecation")
    public WorkCodec(Consumer<String> onUnreadable) {
        this.onUnreadable = onUnreadable;
        mapper.disable(MapperFeature.AUTO_DETECT_IS_GETTERS);
    }

    /** Digests of keys are written in full where they are keys of a map; their text form is an abbreviation. */
    private static SimpleModule createKeyModule() {
        SimpleModule module = new SimpleModule();
        module.addKeySerializer(KeyDigest.class, new JsonSerializer<>() {
            @Override
            public void serialize(KeyDigest digest, JsonGenerator generator, SerializerProvider provider)
                    throws IOException {
                generator.writeFieldName(digest.hexadecimal());
            }
        });
        module.addKeyDeserializer(KeyDigest.class, new KeyDeserializer() {
            @Override
            public Object deserializeKey(String text, DeserializationContext context) {
                return new KeyDigest(text);
            }
        });
        return module;
    }

    /** Encodes a record. */
    public byte[] encode(Object message) {
        try {
            return mapper.writeValueAsBytes(message);
        } catch (JsonProcessingException failure) {
            throw new CicadaleadException(ErrorKind.INTERNAL, "The record cannot be encoded", failure);
        }
    }

    /** Decodes a record; empty if it is damaged or of another type. */
    public <T> Optional<T> decode(byte[] bytes, Class<T> type) {
        if (!RecordBounds.isWholeValue(bytes, bytes.length)) {
            reportUnreadable(type, "incomplete");
            return Optional.empty();
        }
        try {
            return Optional.ofNullable(mapper.readValue(bytes, type));
        } catch (IOException | RuntimeException | StackOverflowError damaged) {
            reportUnreadable(type, String.valueOf(damaged.getMessage()));
            return Optional.empty();
        }
    }

    /**
     * Decodes the head of a leader's record and reads no further, as the claims behind it are hundreds of times as
     * large; empty if the head is damaged or not complete. What follows the head may be damaged still.
     */
    public Optional<LeaderHead> decodeLeaderHead(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            Map<String, Object> head = new HashMap<>();
            for (int remaining = unpacker.unpackMapHeader();
                    remaining > 0 && !head.keySet().containsAll(HEAD_PROPERTIES);
                    remaining--) {
                String property = unpacker.unpackString();
                switch (property) {
                    case EPOCH -> head.put(property, unpacker.unpackLong());
                    case PROCESS, ADDRESS -> head.put(property, unpacker.unpackString());
                    case RESIGNED -> head.put(property, unpacker.unpackBoolean());
                    default -> unpacker.skipValue();
                }
            }
            if (head.keySet().containsAll(HEAD_PROPERTIES)) {
                return Optional.of(new LeaderHead(
                        (long) head.get(EPOCH), (String) head.get(PROCESS), (String) head.get(ADDRESS), (boolean)
                                head.get(RESIGNED)));
            }
            reportUnreadable(LeaderHead.class, "incomplete");
            return Optional.empty();
        } catch (IOException | RuntimeException damaged) {
            reportUnreadable(LeaderHead.class, String.valueOf(damaged.getMessage()));
            return Optional.empty();
        }
    }

    /** Leaves out what few claims have, as every follower reads a claim on each host. */
    interface ClaimProperties {
        @JsonInclude(JsonInclude.Include.NON_EMPTY)
        Set<String> otherServices();
    }

    /** Reports a record that cannot be used, with a description of a limited length. */
    void reportUnreadable(Class<?> type, String problem) {
        onUnreadable.accept(
                type.getSimpleName() + ": " + problem.substring(0, Math.min(problem.length(), MAX_PROBLEM_CHARACTERS)));
    }
}
