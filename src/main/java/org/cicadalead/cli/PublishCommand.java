package org.cicadalead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cicadalead.adapters.toml.ConfigurationFolderReader;
import org.cicadalead.adapters.toml.ConfigurationFolderReader.Folder;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.ConfigurationCommand;
import org.cicadalead.model.command.ConfigurationCommand.UnitChange;
import org.cicadalead.model.configuration.ConfigurationUnit;

/** Publishes the changed files of a configuration folder. Stateless. */
final class PublishCommand implements Subcommand {
    @Override
    public String words() {
        return "publish";
    }

    @Override
    public String argumentsUsage() {
        return "FOLDER [--address ADDRESS:PORT]";
    }

    @Override
    public String summary() {
        return "publishes the changed files of a configuration folder";
    }

    @Override
    public List<String> examples() {
        return List.of("cicadalead publish examples/blue-mountain --address 127.0.0.1:20100");
    }

    @Override
    public Options options() {
        return AddressOption.options();
    }

    @Override
    public ExitCode run(CommandLine arguments, Console console) {
        String name = OptionReader.onlyArgument(arguments, "folder");
        Folder folder = ConfigurationFolderReader.read(Path.of(name));
        if (!folder.problems().isEmpty()) {
            folder.problems().forEach(problem -> console.progress(problem.toString()));
            return ExitCode.BAD_USAGE;
        }
        AdministrationClient client = AddressOption.client(arguments);
        JsonNode published = client.parse(client.get("/configuration/files"), JsonNode.class);
        List<UnitChange> changes = changes(folder.units(), published);
        if (changes.isEmpty()) {
            console.result(new ConfigurationCommand.Publish(changes), "Nothing has changed");
            return ExitCode.DONE;
        }
        String answer = client.post("/configuration", new ConfigurationCommand.Publish(changes));
        return report(client.parse(answer, CommandOutcome.class), changes.size(), console);
    }

    private static List<UnitChange> changes(List<ConfigurationUnit> units, JsonNode published) {
        List<UnitChange> changes = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (ConfigurationUnit unit : units) {
            names.add(unit.fileName());
            JsonNode current = published.path(unit.fileName());
            if (!current.path("textDigest").asText().equals(unit.textDigest())) {
                changes.add(
                        new UnitChange(unit.fileName(), current.path("version").asLong(), Optional.of(unit)));
            }
        }
        published.fields().forEachRemaining(field -> {
            if (!names.contains(field.getKey())) {
                changes.add(new UnitChange(
                        field.getKey(), field.getValue().path("version").asLong(), Optional.empty()));
            }
        });
        return changes;
    }

    private static ExitCode report(CommandOutcome outcome, int changes, Console console) {
        if (outcome instanceof CommandOutcome.Accepted accepted) {
            console.result(outcome, changes + " files accepted as version " + accepted.offset());
            return ExitCode.DONE;
        }
        console.result(
                outcome,
                outcome instanceof CommandOutcome.Rejected rejected
                        ? rejected.kind().code() + ": " + rejected.detail()
                        : outcome.toString());
        return ExitCode.FAILED;
    }
}
