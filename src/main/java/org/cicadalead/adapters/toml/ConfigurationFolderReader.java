package org.cicadalead.adapters.toml;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.cicadalead.logic.capacity.BudgetFeasibility;
import org.cicadalead.logic.configuration.ConfigurationMerger;
import org.cicadalead.logic.configuration.ConfigurationMerger.MergeResult;
import org.cicadalead.model.configuration.ConfigurationProblem;
import org.cicadalead.model.configuration.ConfigurationUnit;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;

/**
 * Reads all TOML files of a configuration folder in the order of their names. Stateless; safe for use by several
 * threads.
 */
public final class ConfigurationFolderReader {
    private ConfigurationFolderReader() {}

    /** Reads and checks a folder; throws with kind {@code INVALID_CONFIGURATION} when files cannot be read. */
    public static FolderContent read(Path folder) {
        List<ConfigurationProblem> problems = new ArrayList<>();
        List<ConfigurationUnit> units = new ArrayList<>();
        UnreadNames unreadNames = new UnreadNames();
        for (Path file : listFiles(folder)) {
            String name = file.getFileName().toString();
            units.add(ConfigurationUnitReader.read(name, readText(file), problems, unreadNames));
        }
        MergeResult mergeResult = ConfigurationMerger.merge(units, unreadNames::mayContain);
        problems.addAll(mergeResult.problems());
        if (problems.isEmpty()) {
            problems.addAll(BudgetFeasibility.findProblems(mergeResult.configuration()));
        }
        return new FolderContent(units, problems);
    }

    private static List<Path> listFiles(Path folder) {
        try (Stream<Path> entries = Files.list(folder)) {
            List<Path> files = entries.filter(
                            path -> path.getFileName().toString().endsWith(".toml"))
                    .sorted((firstPath, secondPath) -> firstPath
                            .getFileName()
                            .toString()
                            .compareTo(secondPath.getFileName().toString()))
                    .toList();
            if (files.isEmpty()) {
                throw new CicadaleadException(
                        ErrorKind.INVALID_CONFIGURATION, "There is no .toml file in '" + folder + "'");
            }
            return files;
        } catch (IOException failure) {
            throw new CicadaleadException(
                    ErrorKind.INVALID_CONFIGURATION, "The folder '" + folder + "' cannot be read", failure);
        }
    }

    private static String readText(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException failure) {
            throw new CicadaleadException(
                    ErrorKind.INVALID_CONFIGURATION, "The file '" + file + "' cannot be read", failure);
        }
    }

    /**
     * The content of a configuration folder. Immutable.
     *
     * @param units the content of the files, in the order of the file names
     * @param problems all errors found in the files and in the merged configuration
     */
    public record FolderContent(List<ConfigurationUnit> units, List<ConfigurationProblem> problems) {
        /** Copies the lists. */
        public FolderContent {
            units = List.copyOf(units);
            problems = List.copyOf(problems);
        }
    }
}
