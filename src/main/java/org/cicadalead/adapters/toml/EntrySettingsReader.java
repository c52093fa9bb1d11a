package org.cicadalead.adapters.toml;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.cicadalead.model.configuration.ConfigurationProblem;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.configuration.SourcePlace;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.settings.EntrySettings;
import org.cicadalead.model.settings.EntrySettings.BindAddress;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/** Reads the settings of an entry process. Stateless; safe for use by several threads. */
public final class EntrySettingsReader {
    /** Maximum duration in a settings file: one hour. */
    private static final int MAX_MILLISECONDS = 60 * 60 * 1_000;

    private EntrySettingsReader() {}

    /** Reads a settings file; throws with kind {@code INVALID_SETTINGS} and all errors when there are any. */
    public static EntrySettings read(Path file) {
        try {
            return parse(file.getFileName().toString(), Files.readString(file));
        } catch (IOException failure) {
            throw new CicadaleadException(
                    ErrorKind.INVALID_SETTINGS, "The settings file '" + file + "' cannot be read", failure);
        }
    }

    /** Parses the text of a settings file; throws with kind {@code INVALID_SETTINGS} when it has errors. */
    public static EntrySettings parse(String fileName, String text) {
        List<ConfigurationProblem> problems = new ArrayList<>();
        TomlParseResult parsed = Toml.parse(text);
        parsed.errors()
                .forEach(error -> problems.add(new ConfigurationProblem(
                        new SourcePlace(
                                fileName,
                                error.position().line(),
                                error.position().column()),
                        "not valid TOML: " + error.getMessage(),
                        "Correct the line")));
        CheckedTable table = new CheckedTable(fileName, parsed, new SourcePlace(fileName, 0, 0), problems);
        Optional<ZoneName> zone = table.readRequired("zone", ZoneName::new);
        Optional<BindAddress> callerAddress = table.readRequired("caller-address", BindAddress::parse);
        Optional<BindAddress> administrationAddress = table.readRequired("administration-address", BindAddress::parse);
        Optional<BindAddress> peerAddress = table.readRequired("peer-address", BindAddress::parse);
        Optional<NetworkAddress> platformAddress = table.readRequired("platform-address", NetworkAddress::parse);
        List<NetworkAddress> peers = table.readTexts("peers", (value, place) -> NetworkAddress.parse(value));
        Duration balancerDelay =
                readMilliseconds(table, "balancer-delay-milliseconds", EntrySettings.DEFAULT_BALANCER_DELAY);
        Duration shutdownLimit =
                readMilliseconds(table, "shutdown-limit-milliseconds", EntrySettings.DEFAULT_SHUTDOWN_LIMIT);
        Optional<String> keyFile = table.readOptionalText("key-file");
        table.reportUnknownKeys();
        if (!problems.isEmpty()) {
            throw new CicadaleadException(
                    ErrorKind.INVALID_SETTINGS,
                    problems.stream().map(ConfigurationProblem::toString).collect(Collectors.joining("\n")));
        }
        return new EntrySettings(
                zone.orElseThrow(),
                callerAddress.orElseThrow(),
                administrationAddress.orElseThrow(),
                peerAddress.orElseThrow(),
                platformAddress.orElseThrow(),
                peers,
                balancerDelay,
                shutdownLimit,
                keyFile);
    }

    private static Duration readMilliseconds(CheckedTable table, String key, Duration defaultDuration) {
        return table.readOptionalNumber(key, 0, MAX_MILLISECONDS)
                .map(Duration::ofMillis)
                .orElse(defaultDuration);
    }
}
