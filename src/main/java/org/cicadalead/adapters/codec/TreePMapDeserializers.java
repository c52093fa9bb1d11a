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

/**
 * Provides deserializers of sorted persistent maps, which the Jackson module for persistent collections lacks. Not
 * modified after construction.
 */
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

    /** Creates the deserializer for the types of keys and values; does not read anything itself. */
    private static final class ContextualMapDeserializer extends JsonDeserializer<TreePMap<?, ?>>
            implements ContextualDeserializer {
        private final JavaType type;

        ContextualMapDeserializer(JavaType type) {
            this.type = type;
        }

        @Override
        public JsonDeserializer<?> createContextual(DeserializationContext context, BeanProperty property)
                throws JsonMappingException {
            MapType mutableMapType =
                    context.getTypeFactory().constructMapType(TreeMap.class, type.getKeyType(), type.getContentType());
            return new MapDeserializer(context.findContextualValueDeserializer(mutableMapType, property));
        }

        @Override
        public TreePMap<?, ?> deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            return context.reportBadDefinition(type, "the types of keys and values are not known yet");
        }
    }

    /** Reads a mutable sorted map and copies it into a persistent one. */
    private static final class MapDeserializer extends JsonDeserializer<TreePMap<?, ?>> {
        private final JsonDeserializer<?> delegate;

        MapDeserializer(JsonDeserializer<?> delegate) {
            this.delegate = delegate;
        }

        @Override
        @SuppressWarnings({"unchecked", "rawtypes"})
        public TreePMap<?, ?> deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            return TreePMap.from((Map<Comparable, Object>) delegate.deserialize(parser, context));
        }
    }
}
