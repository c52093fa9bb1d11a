package org.cicadalead.adapters.codec;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.deser.std.StdDelegatingDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.util.StdConverter;
import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.cicadalead.logic.configuration.ConfigurationMerger;
import org.cicadalead.logic.configuration.ConfigurationMerger.MergeResult;
import org.cicadalead.model.configuration.ConfigurationUnit;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.CommandIdentifier;
import org.cicadalead.model.state.CommandWindow;
import org.cicadalead.model.state.ConfigurationState;
import org.cicadalead.model.state.ConfigurationState.VersionedUnit;
import org.cicadalead.model.state.SharedState;
import org.pcollections.TreePMap;

/**
 * Encodes and decodes the shared state as MessagePack. Equal states are encoded to equal bytes, so that their digests
 * can be compared. Derived data (the merged configuration and the second map of the command window) is left out and
 * computed when decoding. Immutable and safe for use by several threads.
 */
public final class SnapshotCodec {
    /** Maximum size in bytes of a snapshot that is read. */
    public static final int MAX_SNAPSHOT_BYTES = 64 << 20;

    private static final int CURRENT_FORMAT = 1;

    private final ObjectMapper mapper = DomainMappers.messagePack()
            .addMixIn(ConfigurationState.class, WithoutMerged.class)
            .addMixIn(CommandWindow.class, WithoutOffsets.class)
            .registerModule(new SimpleModule("snapshot")
                    .addDeserializer(
                            ConfigurationState.class, new StdDelegatingDeserializer<>(new ConfigurationConverter()))
                    .addDeserializer(CommandWindow.class, new StdDelegatingDeserializer<>(new WindowConverter())));

    /** Encodes a state. */
    public byte[] encode(SharedState state) {
        try {
            return mapper.writeValueAsBytes(new Snapshot(CURRENT_FORMAT, state));
        } catch (JsonProcessingException failure) {
            throw new CicadaleadException(ErrorKind.INTERNAL, "The state cannot be encoded", failure);
        }
    }

    /** Decodes a state; empty when the bytes are damaged or of another format. */
    public Optional<SharedState> decode(byte[] payload) {
        if (!RecordBounds.isWholeValue(payload, MAX_SNAPSHOT_BYTES)) {
            return Optional.empty();
        }
        try {
            return Optional.ofNullable(mapper.readValue(payload, Snapshot.class))
                    .filter(snapshot -> snapshot.formatVersion() == CURRENT_FORMAT)
                    .map(Snapshot::state);
        } catch (IOException | RuntimeException damaged) {
            return Optional.empty();
        }
    }

    /** Returns the hexadecimal SHA-256 of an encoded state. */
    public static String digest(byte[] encoded) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(encoded));
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException(missing);
        }
    }

    private record Snapshot(int formatVersion, SharedState state) {}

    @JsonIgnoreProperties("merged")
    private interface WithoutMerged {}

    @JsonIgnoreProperties("offsets")
    private interface WithoutOffsets {}

    private record EncodedConfiguration(long version, TreeMap<String, VersionedUnit> units) {}

    private record EncodedWindow(TreeMap<Long, CommandIdentifier> identifiers) {}

    private static final class ConfigurationConverter extends StdConverter<EncodedConfiguration, ConfigurationState> {
        @Override
        public ConfigurationState convert(EncodedConfiguration encoded) {
            List<ConfigurationUnit> units = new ArrayList<>();
            encoded.units().values().forEach(versioned -> units.add(versioned.unit()));
            MergeResult merged = ConfigurationMerger.merge(units);
            if (!merged.isValid()) {
                throw new IllegalArgumentException("the configuration of the snapshot is not valid");
            }
            return new ConfigurationState(encoded.version(), TreePMap.from(encoded.units()), merged.configuration());
        }
    }

    private static final class WindowConverter extends StdConverter<EncodedWindow, CommandWindow> {
        @Override
        public CommandWindow convert(EncodedWindow encoded) {
            return CommandWindow.of(encoded.identifiers());
        }
    }
}
