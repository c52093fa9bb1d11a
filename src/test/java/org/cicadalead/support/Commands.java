package org.cicadalead.support;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cicadalead.adapters.toml.ConfigurationUnitReader;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.ConfigurationCommand.Publish;
import org.cicadalead.model.command.ConfigurationCommand.UnitChange;
import org.cicadalead.model.configuration.ConfigurationProblem;
import org.cicadalead.model.configuration.ConfigurationUnit;
import org.cicadalead.model.identity.CommandIdentifier;
import org.cicadalead.model.identity.ProcessIdentifier;

/** Builds commands for tests. */
public final class Commands {
    private Commands() {}

    public static Optional<CommandEnvelope> envelope(String identifier, long readOffset, Command command) {
        return Optional.of(new CommandEnvelope(
                CommandEnvelope.CURRENT_FORMAT,
                new CommandIdentifier(identifier),
                new ProcessIdentifier("writer"),
                readOffset,
                command));
    }

    public static ConfigurationUnit unit(String fileName, String text) {
        List<ConfigurationProblem> problems = new ArrayList<>();
        ConfigurationUnit unit = ConfigurationUnitReader.read(fileName, text, problems);
        if (!problems.isEmpty()) {
            throw new IllegalArgumentException(problems.toString());
        }
        return unit;
    }

    public static ConfigurationUnit team(String fileName, int share) {
        String name = fileName.replace(".toml", "");
        return unit(fileName, "[[team]]\nname = \"" + name + "\"\nshare = " + share + "\n");
    }

    public static UnitChange change(ConfigurationUnit unit, long replacedVersion) {
        return new UnitChange(unit.fileName(), replacedVersion, Optional.of(unit));
    }

    public static UnitChange removal(String fileName, long replacedVersion) {
        return new UnitChange(fileName, replacedVersion, Optional.empty());
    }

    public static Publish publish(UnitChange... changes) {
        return new Publish(List.of(changes));
    }
}
