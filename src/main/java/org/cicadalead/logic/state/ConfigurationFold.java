package org.cicadalead.logic.state;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cicadalead.logic.capacity.BudgetFeasibility;
import org.cicadalead.logic.configuration.ConfigurationMerger;
import org.cicadalead.logic.configuration.ConfigurationMerger.MergeResult;
import org.cicadalead.logic.fleet.HostDeclaration;
import org.cicadalead.model.command.ConfigurationCommand;
import org.cicadalead.model.command.ConfigurationCommand.UnitChange;
import org.cicadalead.model.configuration.ConfigurationProblem;
import org.cicadalead.model.configuration.ConfigurationUnit;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.state.ConfigurationState;
import org.cicadalead.model.state.ConfigurationState.VersionedUnit;
import org.cicadalead.model.state.SharedState;
import org.pcollections.TreePMap;

/**
 * Folds publications of configuration files. A publication is accepted only if every changed file still has the version
 * that it replaces and the merged configuration is valid. Stateless; safe for use by several threads.
 */
final class ConfigurationFold {
    /** Maximum number of problems that a rejection lists; the others are only counted. */
    private static final int MAX_LISTED_PROBLEMS = 50;

    private ConfigurationFold() {}

    static FoldResult apply(SharedState state, long offset, ConfigurationCommand command) {
        return publish(state, offset, (ConfigurationCommand.Publish) command);
    }

    private static FoldResult publish(SharedState state, long offset, ConfigurationCommand.Publish publication) {
        TreePMap<String, VersionedUnit> current = state.configuration().units();
        Optional<String> malformed = findMalformation(publication);
        if (malformed.isPresent()) {
            return FoldResult.rejected(state, ErrorKind.MALFORMED_REQUEST, malformed.get());
        }
        List<String> conflicts = findConflicts(current, publication.changes());
        if (!conflicts.isEmpty()) {
            return FoldResult.rejected(
                    state,
                    ErrorKind.CONFLICT,
                    String.join("; ", conflicts) + "; read the current folder and publish again");
        }
        TreePMap<String, VersionedUnit> units = current;
        for (UnitChange change : publication.changes()) {
            units = replaceUnit(units, offset, change);
        }
        return acceptIfValid(state, offset, units);
    }

    private static FoldResult acceptIfValid(SharedState state, long offset, TreePMap<String, VersionedUnit> units) {
        MergeResult merged = ConfigurationMerger.merge(extractUnits(units));
        if (!merged.isValid()) {
            return rejectInvalid(state, merged.problems());
        }
        ConfigurationState configuration = new ConfigurationState(offset, units, merged.configuration());
        SharedState changed =
                HostDeclaration.reconcile(state.withConfiguration(configuration), offset, merged.configuration());
        List<ConfigurationProblem> budgetProblems = BudgetFeasibility.findPublicationProblems(state, changed);
        return budgetProblems.isEmpty() ? FoldResult.accepted(changed, offset) : rejectInvalid(state, budgetProblems);
    }

    private static FoldResult rejectInvalid(SharedState state, List<ConfigurationProblem> problems) {
        return FoldResult.rejected(state, ErrorKind.INVALID_CONFIGURATION, describe(problems));
    }

    private static String describe(List<ConfigurationProblem> problems) {
        String listed = problems.stream()
                .limit(MAX_LISTED_PROBLEMS)
                .map(ConfigurationProblem::toString)
                .collect(Collectors.joining("\n"));
        int remaining = problems.size() - MAX_LISTED_PROBLEMS;
        return remaining > 0 ? listed + "\nand " + remaining + " more" : listed;
    }

    private static Optional<String> findMalformation(ConfigurationCommand.Publish publication) {
        if (publication.changes().isEmpty()) {
            return Optional.of("The publication changes no file");
        }
        Set<String> names = new HashSet<>();
        for (UnitChange change : publication.changes()) {
            if (!names.add(change.fileName())) {
                return Optional.of("The file '" + change.fileName() + "' is changed twice");
            }
            if (change.unit()
                    .filter(unit -> !unit.fileName().equals(change.fileName()))
                    .isPresent()) {
                return Optional.of("The content of '" + change.fileName() + "' is that of another file");
            }
        }
        return Optional.empty();
    }

    private static List<String> findConflicts(TreePMap<String, VersionedUnit> units, List<UnitChange> changes) {
        List<String> conflicts = new ArrayList<>();
        for (UnitChange change : changes) {
            VersionedUnit current = units.get(change.fileName());
            long currentVersion = current == null ? 0 : current.version();
            if (currentVersion != change.replacedVersion()) {
                conflicts.add("the file '" + change.fileName() + "' has version " + currentVersion
                        + " and not the version " + change.replacedVersion() + " that this publication replaces");
            }
        }
        return conflicts;
    }

    private static TreePMap<String, VersionedUnit> replaceUnit(
            TreePMap<String, VersionedUnit> units, long offset, UnitChange change) {
        return change.unit()
                .map(unit -> units.plus(change.fileName(), new VersionedUnit(offset, unit)))
                .orElseGet(() -> units.minus(change.fileName()));
    }

    private static List<ConfigurationUnit> extractUnits(TreePMap<String, VersionedUnit> units) {
        List<ConfigurationUnit> unitContents = new ArrayList<>();
        units.values().forEach(versioned -> unitContents.add(versioned.unit()));
        return unitContents;
    }
}
