package org.cicadalead.adapters.toml;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;
import org.cicadalead.model.configuration.AvailabilityBudget;
import org.cicadalead.model.configuration.ConfigurationProblem;
import org.cicadalead.model.configuration.ConfigurationUnit;
import org.cicadalead.model.configuration.DeploymentDefinition;
import org.cicadalead.model.configuration.FailureCover;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.configuration.Measure;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.configuration.PoolDefinition;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.configuration.SourcePlace;
import org.cicadalead.model.configuration.TeamDefinition;
import org.cicadalead.model.configuration.ZoneDefinition;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.RackName;
import org.cicadalead.model.identity.RegionName;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.identity.TeamName;
import org.cicadalead.model.identity.ZoneName;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;

/** Reads one file of a configuration folder. Stateless; safe for use by several threads. */
public final class ConfigurationUnitReader {
    /** Maximum of every count in a configuration. */
    private static final int MAX_COUNT = 1_000_000;
    /** Maximum timeout of a service: one day. */
    private static final int MAX_TIMEOUT_MILLISECONDS = 24 * 60 * 60 * 1_000;

    private ConfigurationUnitReader() {}

    /** Reads the text of a file; omits definitions with errors and adds the errors to the list. */
    public static ConfigurationUnit read(String fileName, String text, List<ConfigurationProblem> problems) {
        return read(fileName, text, problems, new UnreadNames());
    }

    /** Reads the text of a file; also collects the names in definitions that are omitted because of errors. */
    static ConfigurationUnit read(
            String fileName, String text, List<ConfigurationProblem> problems, UnreadNames unreadNames) {
        TomlParseResult parsed = Toml.parse(text);
        for (TomlParseError error : parsed.errors()) {
            SourcePlace place = new SourcePlace(
                    fileName, error.position().line(), error.position().column());
            problems.add(new ConfigurationProblem(
                    place,
                    "not valid TOML: " + error.getMessage(),
                    "Correct the line; the rest of the file is not read"));
        }
        CheckedTable root = new CheckedTable(fileName, parsed, new SourcePlace(fileName, 0, 0), problems);
        if (parsed.hasErrors()) {
            unreadNames.addAnyName();
            return new ConfigurationUnit(
                    fileName, digest(text), Optional.empty(), List.of(), List.of(), List.of(), List.of(), List.of());
        }
        ConfigurationUnit unit = new ConfigurationUnit(
                fileName,
                digest(text),
                root.readOptionalTable("deployment").flatMap(ConfigurationUnitReader::readDeployment),
                readDefinitions(root, "zone", ConfigurationUnitReader::readZone, unreadNames),
                readDefinitions(root, "host", ConfigurationUnitReader::readHost, unreadNames),
                readDefinitions(root, "pool", ConfigurationUnitReader::readPool, unreadNames),
                readDefinitions(root, "service", ConfigurationUnitReader::readService, unreadNames),
                readDefinitions(root, "team", ConfigurationUnitReader::readTeam, unreadNames));
        root.reportUnknownKeys();
        return unit;
    }

    private static <T> List<T> readDefinitions(
            CheckedTable root, String key, Function<CheckedTable, Optional<T>> reader, UnreadNames unreadNames) {
        List<T> definitions = new ArrayList<>();
        for (CheckedTable table : root.readTables(key)) {
            reader.apply(table).ifPresentOrElse(definitions::add, () -> addUnreadNames(table, unreadNames));
        }
        return definitions;
    }

    /** Adds the names that an invalid definition defines or refers to; one without a name may define any name. */
    private static void addUnreadNames(CheckedTable table, UnreadNames unreadNames) {
        table.peekText("name").ifPresentOrElse(unreadNames::add, unreadNames::addAnyName);
        table.peekTexts("hosts").forEach(unreadNames::add);
    }

    private static Optional<DeploymentDefinition> readDeployment(CheckedTable table) {
        Optional<String> name = table.readRequiredText("name");
        Optional<Measure> firstMeasure = table.readRequired("first-measure", ConfigurationUnitReader::parseMeasure);
        table.reportUnknownKeys();
        if (name.isEmpty() || firstMeasure.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new DeploymentDefinition(name.get(), firstMeasure.get(), table.place()));
    }

    private static Optional<ZoneDefinition> readZone(CheckedTable table) {
        Optional<ZoneName> name = table.readRequired("name", ZoneName::new);
        Optional<RegionName> region = table.readRequired("region", RegionName::new);
        table.reportUnknownKeys();
        if (name.isEmpty() || region.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new ZoneDefinition(name.get(), region.get(), table.place()));
    }

    private static Optional<HostDefinition> readHost(CheckedTable table) {
        Optional<HostName> name = table.readRequired("name", HostName::new);
        Optional<ZoneName> zone = table.readRequired("zone", ZoneName::new);
        Optional<RackName> rack = table.readRequired("rack", RackName::new);
        Optional<NetworkAddress> address = table.readRequired("address", NetworkAddress::parse);
        Optional<Integer> slots = table.readOptionalNumber("slots", 1, MAX_COUNT);
        Optional<Integer> connections = table.readOptionalNumber("connections", 1, MAX_COUNT);
        Optional<Integer> processors = table.readRequiredNumber("processors", 1, MAX_COUNT);
        Optional<Integer> memory = table.readRequiredNumber("memory-gigabytes", 1, MAX_COUNT);
        Optional<Integer> accelerators = table.readOptionalNumber("accelerators", 0, MAX_COUNT);
        table.reportUnknownKeys();
        if (name.isEmpty() || zone.isEmpty() || rack.isEmpty() || address.isEmpty()) {
            return Optional.empty();
        }
        if (processors.isEmpty() || memory.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new HostDefinition(
                name.get(),
                zone.get(),
                rack.get(),
                address.get(),
                slots.orElse(HostDefinition.DEFAULT_SLOTS),
                connections.orElse(HostDefinition.DEFAULT_CONNECTIONS),
                processors.get(),
                memory.get(),
                accelerators.orElse(0),
                table.place()));
    }

    private static Optional<PoolDefinition> readPool(CheckedTable table) {
        Optional<PoolName> name = table.readRequired("name", PoolName::new);
        boolean spare = table.readOptionalBoolean("spare").orElse(false);
        List<PoolDefinition.HostReference> hosts =
                table.readTexts("hosts", (text, place) -> new PoolDefinition.HostReference(new HostName(text), place));
        table.reportUnknownKeys();
        return name.map(poolName -> new PoolDefinition(poolName, spare, hosts, table.place()));
    }

    private static Optional<ServiceDefinition> readService(CheckedTable table) {
        Optional<ServiceName> name = table.readRequired("name", ServiceName::new);
        Optional<PoolName> pool = table.readRequired("pool", PoolName::new);
        Optional<AvailabilityBudget> budget = readBudget(table);
        Optional<Integer> timeout = table.readOptionalNumber("timeout-milliseconds", 1, MAX_TIMEOUT_MILLISECONDS);
        Optional<Integer> queueLimit = table.readOptionalNumber("queue-limit", 1, MAX_COUNT);
        List<String> methods = table.readTexts("idempotent-methods", (text, place) -> text);
        table.reportUnknownKeys();
        if (name.isEmpty() || pool.isEmpty() || budget.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new ServiceDefinition(
                name.get(),
                pool.get(),
                budget.get(),
                timeout.map(Duration::ofMillis).orElse(ServiceDefinition.DEFAULT_TIMEOUT),
                queueLimit.orElse(ServiceDefinition.DEFAULT_QUEUE_LIMIT),
                new TreeSet<>(methods.isEmpty() ? ServiceDefinition.STANDARD_IDEMPOTENT_METHODS : methods),
                table.place()));
    }

    private static Optional<AvailabilityBudget> readBudget(CheckedTable table) {
        Optional<Integer> promisedHosts = table.readRequiredNumber("promised-hosts", 1, MAX_COUNT);
        Optional<Integer> maximumUnavailable = table.readRequiredNumber("maximum-unavailable", 0, MAX_COUNT);
        FailureCover cover = table.readOptional("covers", ConfigurationUnitReader::parseCover)
                .orElse(FailureCover.RACK);
        if (promisedHosts.isEmpty() || maximumUnavailable.isEmpty()) {
            return Optional.empty();
        }
        if (maximumUnavailable.get() > promisedHosts.get()) {
            table.reportProblem(
                    table.placeOf("maximum-unavailable"),
                    "'maximum-unavailable' is larger than 'promised-hosts'",
                    "Name at most " + promisedHosts.get());
            return Optional.empty();
        }
        return Optional.of(new AvailabilityBudget(promisedHosts.get(), maximumUnavailable.get(), cover));
    }

    private static Optional<TeamDefinition> readTeam(CheckedTable table) {
        Optional<TeamName> name = table.readRequired("name", TeamName::new);
        int share = table.readOptionalNumber("share", 1, MAX_COUNT).orElse(TeamDefinition.DEFAULT_SHARE);
        int jobQuota = table.readOptionalNumber("job-quota", 0, MAX_COUNT).orElse(TeamDefinition.DEFAULT_JOB_QUOTA);
        table.reportUnknownKeys();
        return name.map(teamName -> new TeamDefinition(teamName, share, jobQuota, table.place()));
    }

    private static Measure parseMeasure(String label) {
        return Measure.fromLabel(label)
                .orElseThrow(() -> new IllegalArgumentException(
                        "'" + label + "' is not one of buffer-cost, roll-out-time, moves"));
    }

    private static FailureCover parseCover(String label) {
        return FailureCover.fromLabel(label)
                .orElseThrow(() -> new IllegalArgumentException("'" + label + "' is not one of none, host, rack"));
    }

    private static String digest(String text) {
        try {
            MessageDigest algorithm = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(algorithm.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException noSuchAlgorithm) {
            throw new IllegalStateException(noSuchAlgorithm);
        }
    }
}
