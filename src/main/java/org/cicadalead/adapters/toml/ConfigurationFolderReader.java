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

/** Reads all TOML files of a folder in the order of their names. Stateless; safe for use by several threads. */
public final class ConfigurationFolderReader {
    private ConfigurationFolderReader() {}

    /** Reads and checks a folder; throws with kind {@code INVALID_CONFIGURATION} when it cannot be read at all. */
    public static Folder read(Path folder) {
        List<ConfigurationProblem> problems = new ArrayList<>();
        List<ConfigurationUnit> units = new ArrayList<>();
        UnreadNames unread = new UnreadNames();
        for (Path file : listFiles(folder)) {
            String name = file.getFileName().toString();
            units.add(ConfigurationUnitReader.read(name, readText(file), problems, unread));
        }
        MergeResult merged = ConfigurationMerger.merge(units, unread::mayContain);
        problems.addAll(merged.problems());
        if (problems.isEmpty()) {
            problems.addAll(BudgetFeasibility.findProblems(merged.configuration()));
        }
        return new Folder(units, problems);
    }

    private static List<Path> listFiles(Path folder) {
        try (Stream<Path> entries = Files.list(folder)) {
            List<Path> files = entries.filter(
                            path -> path.getFileName().toString().endsWith(".toml"))
                    .sorted((left, right) -> left.getFileName()
                            .toString()
                            .compareTo(right.getFileName().toString()))
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
     * A folder's content. Immutable.
     *
     * @param units the files in order
     * @param problems every error found, in the files and in the merged whole
     */
    public record Folder(List<ConfigurationUnit> units, List<ConfigurationProblem> problems) {
        /** Copies the lists. */
        public Folder {
            units = List.copyOf(units);
            problems = List.copyOf(problems);
        }
    }
}
