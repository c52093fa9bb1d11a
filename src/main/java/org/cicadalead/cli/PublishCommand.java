package org.cicadalead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cicadalead.adapters.toml.ConfigurationFolderReader;
import org.cicadalead.adapters.toml.ConfigurationFolderReader.FolderContent;
import org.cicadalead.logic.state.ConfigurationProgress;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.ConfigurationCommand;
import org.cicadalead.model.command.ConfigurationCommand.UnitChange;
import org.cicadalead.model.configuration.ConfigurationUnit;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;

/** Publishes the changed files of a configuration folder. Stateless. */
final class PublishCommand implements Subcommand {
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration POLL_PERIOD = Duration.ofMillis(100);

    @Override
    public String commandName() {
        return "publish";
    }

    @Override
    public String argumentsUsage() {
        return "FOLDER [--address ADDRESS:PORT] [--wait] [--limit DURATION]";
    }

    @Override
    public String summary() {
        return "publishes the changed files of a configuration folder";
    }

    @Override
    public List<String> examples() {
        return List.of(
                "cicadalead publish examples/blue-mountain --address 127.0.0.1:20100",
                "cicadalead publish examples/blue-mountain --wait --limit 20s");
    }

    @Override
    public Options options() {
        return AddressOption.options()
                .addOption(Option.builder()
                        .longOpt("wait")
                        .desc("waits until the configuration is in force in every entry process")
                        .build())
                .addOption(Option.builder()
                        .longOpt("limit")
                        .hasArg()
                        .argName("DURATION")
                        .desc("how long to wait at most (" + DEFAULT_TIMEOUT.toSeconds() + "s)")
                        .build());
    }

    @Override
    public ExitCode run(CommandLine arguments, Console console) {
        String folderName = OptionReader.requireSingleArgument(arguments, "folder");
        FolderContent folder = ConfigurationFolderReader.read(Path.of(folderName));
        if (!folder.problems().isEmpty()) {
            folder.problems().forEach(problem -> console.printProgress(problem.toString()));
            return ExitCode.BAD_USAGE;
        }
        AdministrationClient client = AddressOption.createClient(arguments);
        JsonNode publishedFiles = client.parse(client.get("/configuration/files"), JsonNode.class);
        List<UnitChange> changes = findChanges(folder.units(), publishedFiles);
        if (changes.isEmpty()) {
            console.printResult(new ConfigurationCommand.Publish(changes), "Nothing has changed");
            return ExitCode.DONE;
        }
        String response = client.post("/configuration", new ConfigurationCommand.Publish(changes));
        CommandOutcome outcome = client.parse(response, CommandOutcome.class);
        if (!arguments.hasOption("wait") || !(outcome instanceof CommandOutcome.Accepted accepted)) {
            return reportOutcome(outcome, changes.size(), console);
        }
        console.printProgress(changes.size() + " files accepted as version " + accepted.offset());
        Duration timeout = OptionReader.readDuration(arguments, "limit").orElse(DEFAULT_TIMEOUT);
        return reportInForce(awaitInForce(client, accepted.offset(), timeout), timeout, console);
    }

    private static List<UnitChange> findChanges(List<ConfigurationUnit> units, JsonNode publishedFiles) {
        List<UnitChange> changes = new ArrayList<>();
        Set<String> fileNames = new HashSet<>();
        for (ConfigurationUnit unit : units) {
            fileNames.add(unit.fileName());
            JsonNode publishedFile = publishedFiles.path(unit.fileName());
            if (!publishedFile.path("textDigest").asText().equals(unit.textDigest())) {
                changes.add(new UnitChange(
                        unit.fileName(), publishedFile.path("version").asLong(), Optional.of(unit)));
            }
        }
        publishedFiles.fields().forEachRemaining(field -> {
            if (!fileNames.contains(field.getKey())) {
                changes.add(new UnitChange(
                        field.getKey(), field.getValue().path("version").asLong(), Optional.empty()));
            }
        });
        return changes;
    }

    private static ConfigurationProgress awaitInForce(AdministrationClient client, long version, Duration timeout) {
        long deadline = System.nanoTime() + timeout.toNanos();
        while (true) {
            ConfigurationProgress progress =
                    client.parse(client.get("/configuration/progress?version=" + version), ConfigurationProgress.class);
            if (progress.inForceEverywhere() || System.nanoTime() >= deadline) {
                return progress;
            }
            pause();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(POLL_PERIOD.toMillis());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new CicadaleadException(ErrorKind.CANCELLED, "Interrupted while waiting", interrupted);
        }
    }

    private static ExitCode reportInForce(ConfigurationProgress progress, Duration timeout, Console console) {
        if (progress.inForceEverywhere()) {
            console.printResult(progress, "Version " + progress.version() + " is in force in every entry process");
            return ExitCode.DONE;
        }
        console.printResult(
                progress,
                "Version " + progress.version() + " is accepted and stays so, but after " + timeout.toSeconds()
                        + " s it is not yet in force in the availability zones " + progress.zonesMissing());
        return ExitCode.FAILED;
    }

    private static ExitCode reportOutcome(CommandOutcome outcome, int changeCount, Console console) {
        if (outcome instanceof CommandOutcome.Accepted accepted) {
            console.printResult(outcome, changeCount + " files accepted as version " + accepted.offset());
            return ExitCode.DONE;
        }
        console.printResult(
                outcome,
                outcome instanceof CommandOutcome.Rejected rejected
                        ? rejected.kind().code() + ": " + rejected.detail()
                        : outcome.toString());
        return ExitCode.FAILED;
    }
}
