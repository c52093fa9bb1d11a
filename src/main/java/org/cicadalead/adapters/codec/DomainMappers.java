package org.cicadalead.adapters.codec;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import com.fasterxml.jackson.datatype.pcollections.PCollectionsModule;
import java.util.Locale;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandOutcome;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Creates the mappers for domain records. A record of a sealed type is encoded with the name of its type. Unknown
 * properties are errors, so that a record of a later format is not half read. Durations are encoded as text (ISO 8601):
 * as numbers they would be rounded, and a state that was decoded twice would differ from one decoded once. Stateless;
 * the mappers are safe for use by several threads.
 */
public final class DomainMappers {
    private DomainMappers() {}

    /** Creates a mapper for JSON, which is used for operators and the platform. */
    public static ObjectMapper json() {
        return configure(JsonMapper.builder().build());
    }

    /** Creates a mapper for MessagePack, which is used in the log and between entry processes. */
    public static ObjectMapper messagePack() {
        return configure(new ObjectMapper(new MessagePackFactory()));
    }

    @SuppressWarnings("deprecation")
    private static ObjectMapper configure(ObjectMapper mapper) {
        mapper.registerModules(new Jdk8Module(), new JavaTimeModule(), new PCollectionsModule(), new DomainModule());
        mapper.enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS);
        mapper.disable(SerializationFeature.WRITE_DURATIONS_AS_TIMESTAMPS);
        mapper.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        mapper.enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES);
        mapper.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
        mapper.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);
        mapper.disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT);
        mapper.disable(MapperFeature.AUTO_DETECT_IS_GETTERS);
        mapper.addMixIn(Command.class, TypedByName.class);
        mapper.addMixIn(CommandOutcome.class, TypedByName.class);
        registerSealed(mapper, Command.class);
        registerSealed(mapper, CommandOutcome.class);
        return mapper;
    }

    private static void registerSealed(ObjectMapper mapper, Class<?> type) {
        if (!type.isSealed()) {
            mapper.registerSubtypes(new NamedType(type, kebabCase(type.getSimpleName())));
            return;
        }
        for (Class<?> permitted : type.getPermittedSubclasses()) {
            registerSealed(mapper, permitted);
        }
    }

    private static String kebabCase(String name) {
        return name.replaceAll("(?<=[a-z])(?=[A-Z])", "-").toLowerCase(Locale.ROOT);
    }

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
    private interface TypedByName {}
}
