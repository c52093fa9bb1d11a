package org.cicadalead.model.command;

import java.util.List;
import java.util.Optional;
import org.cicadalead.model.configuration.ConfigurationUnit;

/** Commands that change the configuration. Implementations are immutable. */
public sealed interface ConfigurationCommand extends Command {
    /**
     * Publishes changed files atomically: either all or none of them are accepted.
     *
     * @param changes the changed files
     */
    record Publish(List<UnitChange> changes) implements ConfigurationCommand {
        /** Copies the list. */
        public Publish {
            changes = List.copyOf(changes);
        }
    }

    /**
     * The change of one file.
     *
     * @param fileName name of the file
     * @param replacedVersion the version that the change replaces; 0 when the file is new
     * @param unit the new content; absent when the file is removed
     */
    record UnitChange(String fileName, long replacedVersion, Optional<ConfigurationUnit> unit) {}
}
