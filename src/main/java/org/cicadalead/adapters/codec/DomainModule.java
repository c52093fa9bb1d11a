package org.cicadalead.adapters.codec;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.KeyDeserializer;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.FromStringDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import java.io.IOException;
import java.util.function.Function;
import org.cicadalead.model.identity.CommandIdentifier;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.Identifier;
import org.cicadalead.model.identity.JobIdentifier;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.RackName;
import org.cicadalead.model.identity.RegionName;
import org.cicadalead.model.identity.RequestIdentifier;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.identity.TeamName;
import org.cicadalead.model.identity.WaveIdentifier;
import org.cicadalead.model.identity.ZoneName;

/** Jackson module that encodes identifiers as plain text, also as map keys. Not modified after construction. */
final class DomainModule extends SimpleModule {
    private static final long serialVersionUID = 1L;

    DomainModule() {
        super("cicadalead");
        addSerializer(new IdentifierSerializer());
        register(CommandIdentifier.class, CommandIdentifier::new);
        register(HostName.class, HostName::new);
        register(JobIdentifier.class, JobIdentifier::new);
        register(PoolName.class, PoolName::new);
        register(ProcessIdentifier.class, ProcessIdentifier::new);
        register(RackName.class, RackName::new);
        register(RegionName.class, RegionName::new);
        register(RequestIdentifier.class, RequestIdentifier::new);
        register(ServiceName.class, ServiceName::new);
        register(TeamName.class, TeamName::new);
        register(WaveIdentifier.class, WaveIdentifier::new);
        register(ZoneName.class, ZoneName::new);
    }

    @Override
    public void setupModule(SetupContext context) {
        super.setupModule(context);
        context.addDeserializers(new TreePMapDeserializers());
    }

    private <T> void register(Class<T> type, Function<String, T> constructor) {
        addDeserializer(type, new TextDeserializer<>(type, constructor));
        addKeyDeserializer(type, new TextKeyDeserializer<>(constructor));
    }

    @SuppressWarnings("rawtypes")
    private static final class IdentifierSerializer extends StdSerializer<Identifier> {
        private static final long serialVersionUID = 1L;

        IdentifierSerializer() {
            super(Identifier.class);
        }

        @Override
        public void serialize(Identifier value, JsonGenerator generator, SerializerProvider provider)
                throws IOException {
            generator.writeString(value.value());
        }
    }

    @SuppressWarnings("serial")
    private static final class TextDeserializer<T> extends FromStringDeserializer<T> {
        private static final long serialVersionUID = 1L;

        private final Function<String, T> constructor;

        TextDeserializer(Class<T> type, Function<String, T> constructor) {
            super(type);
            this.constructor = constructor;
        }

        @Override
        protected T _deserialize(String value, DeserializationContext context) {
            return constructor.apply(value);
        }
    }

    private static final class TextKeyDeserializer<T> extends KeyDeserializer {
        private final Function<String, T> constructor;

        TextKeyDeserializer(Function<String, T> constructor) {
            this.constructor = constructor;
        }

        @Override
        public Object deserializeKey(String key, DeserializationContext context) {
            return constructor.apply(key);
        }
    }
}
