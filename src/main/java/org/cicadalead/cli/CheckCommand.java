package org.cicadalead.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cicadalead.adapters.toml.ConfigurationFolderReader;
import org.cicadalead.adapters.toml.ConfigurationFolderReader.FolderContent;
import org.cicadalead.model.configuration.ConfigurationProblem;

/** Validates a configuration folder and reports all errors at once. Stateless. */
final class CheckCommand implements Subcommand {
    @Override
    public String commandName() {
        return "check";
    }

    @Override
    public String argumentsUsage() {
        return "FOLDER";
    }

    @Override
    public String summary() {
        return "checks a configuration folder";
    }

    @Override
    public List<String> examples() {
        return List.of("cicadalead check examples/blue-mountain");
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public ExitCode run(CommandLine arguments, Console console) {
        String name = OptionReader.requireSingleArgument(arguments, "folder");
        FolderContent folder = ConfigurationFolderReader.read(Path.of(name));
        if (folder.problems().isEmpty()) {
            String text = name + " is valid: " + folder.units().size() + " files";
            console.printResult(new CheckResult(true, folder.units().size(), List.of()), text);
            return ExitCode.DONE;
        }
        String text = folder.problems().stream()
                .map(ConfigurationProblem::toString)
                .collect(Collectors.joining(System.lineSeparator()));
        console.printResult(new CheckResult(false, folder.units().size(), folder.problems()), text);
        console.printProgress(folder.problems().size() + " errors; nothing was applied");
        return ExitCode.BAD_USAGE;
    }

    /**
     * The result of a check, written as JSON.
     *
     * @param valid whether the folder may be published
     * @param files number of files in the folder
     * @param problems all errors that were found
     */
    record CheckResult(boolean valid, int files, List<ConfigurationProblem> problems) {}
}
