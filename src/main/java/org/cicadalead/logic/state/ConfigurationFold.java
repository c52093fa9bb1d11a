package org.cicadalead.logic.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cicadalead.logic.configuration.ConfigurationMerger;
import org.cicadalead.logic.configuration.ConfigurationMerger.MergeResult;
import org.cicadalead.logic.fleet.HostDeclaration;
import org.cicadalead.model.command.ConfigurationCommand;
import org.cicadalead.model.command.ConfigurationCommand.UnitChange;
import org.cicadalead.model.configuration.ConfigurationUnit;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.state.ConfigurationState;
import org.cicadalead.model.state.ConfigurationState.VersionedUnit;
import org.cicadalead.model.state.SharedState;
import org.pcollections.TreePMap;

/**
 * Folds publications. A publication is accepted only if every file still has the version that it replaces and the whole
 * merged folder is valid. Stateless; safe for use by several threads.
 */
final class ConfigurationFold {
    private ConfigurationFold() {}

    static FoldResult apply(SharedState state, long offset, ConfigurationCommand command) {
        return publish(state, offset, (ConfigurationCommand.Publish) command);
    }

    private static FoldResult publish(SharedState state, long offset, ConfigurationCommand.Publish publication) {
        TreePMap<String, VersionedUnit> units = state.configuration().units();
        for (UnitChange change : publication.changes()) {
            Optional<String> conflict = findConflict(units, change);
            if (conflict.isPresent()) {
                return FoldResult.rejected(state, ErrorKind.CONFLICT, conflict.get());
            }
            units = replaceUnit(units, offset, change);
        }
        MergeResult merged = ConfigurationMerger.merge(contents(units));
        if (!merged.isValid()) {
            return FoldResult.rejected(
                    state,
                    ErrorKind.INVALID_CONFIGURATION,
                    merged.problems().get(0).toString());
        }
        ConfigurationState configuration = new ConfigurationState(offset, units, merged.configuration());
        SharedState changed = state.withConfiguration(configuration);
        return FoldResult.accepted(HostDeclaration.reconcile(changed, offset, merged.configuration()), offset);
    }

    private static Optional<String> findConflict(TreePMap<String, VersionedUnit> units, UnitChange change) {
        VersionedUnit current = units.get(change.fileName());
        long currentVersion = current == null ? 0 : current.version();
        if (currentVersion == change.replacedVersion()) {
            return Optional.empty();
        }
        return Optional.of("The file '" + change.fileName() + "' has version " + currentVersion
                + " and not the version " + change.replacedVersion()
                + " that this publication replaces; read the current one and publish again");
    }

    private static TreePMap<String, VersionedUnit> replaceUnit(
            TreePMap<String, VersionedUnit> units, long offset, UnitChange change) {
        return change.unit()
                .map(unit -> units.plus(change.fileName(), new VersionedUnit(offset, unit)))
                .orElseGet(() -> units.minus(change.fileName()));
    }

    private static List<ConfigurationUnit> contents(TreePMap<String, VersionedUnit> units) {
        List<ConfigurationUnit> contents = new ArrayList<>();
        units.values().forEach(versioned -> contents.add(versioned.unit()));
        return contents;
    }
}
