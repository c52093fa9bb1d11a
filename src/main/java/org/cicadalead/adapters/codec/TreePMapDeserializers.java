package org.cicadalead.adapters.codec;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.BeanDescription;
import com.fasterxml.jackson.databind.BeanProperty;
import com.fasterxml.jackson.databind.DeserializationConfig;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.KeyDeserializer;
import com.fasterxml.jackson.databind.deser.ContextualDeserializer;
import com.fasterxml.jackson.databind.deser.Deserializers;
import com.fasterxml.jackson.databind.jsontype.TypeDeserializer;
import com.fasterxml.jackson.databind.type.MapType;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.pcollections.TreePMap;

/** Decodes sorted persistent maps, which the module of the library leaves out. Not changed after construction. */
final class TreePMapDeserializers extends Deserializers.Base {
    @Override
    public @Nullable JsonDeserializer<?> findMapDeserializer(
            MapType type,
            DeserializationConfig configuration,
            BeanDescription description,
            KeyDeserializer keys,
            TypeDeserializer elementTypes,
            JsonDeserializer<?> elements) {
        return type.hasRawClass(TreePMap.class) ? new ContextualMapDeserializer(type) : null;
    }

    /** Knows the types of keys and values; reads nothing itself. */
    private static final class ContextualMapDeserializer extends JsonDeserializer<TreePMap<?, ?>>
            implements ContextualDeserializer {
        private final JavaType type;

        ContextualMapDeserializer(JavaType type) {
            this.type = type;
        }

        @Override
        public JsonDeserializer<?> createContextual(DeserializationContext context, BeanProperty property)
                throws JsonMappingException {
            MapType plain =
                    context.getTypeFactory().constructMapType(TreeMap.class, type.getKeyType(), type.getContentType());
            return new MapDeserializer(context.findContextualValueDeserializer(plain, property));
        }

        @Override
        public TreePMap<?, ?> deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            return context.reportBadDefinition(type, "the types of keys and values are not known yet");
        }
    }

    /** Reads a plain sorted map and copies it. */
    private static final class MapDeserializer extends JsonDeserializer<TreePMap<?, ?>> {
        private final JsonDeserializer<?> delegate;

        MapDeserializer(JsonDeserializer<?> plain) {
            this.delegate = plain;
        }

        @Override
        @SuppressWarnings({"unchecked", "rawtypes"})
        public TreePMap<?, ?> deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            return TreePMap.from((Map<Comparable, Object>) delegate.deserialize(parser, context));
        }
    }
}
