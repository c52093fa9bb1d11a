package org.cicadalead.cli;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** A command of the command line. Implementations are stateless. */
public interface Subcommand {
    /** Returns the name of the command, which may have several words, such as {@code stand-in platform}. */
    String commandName();

    /** Returns the arguments after the name of the command, as shown in the usage line. */
    String argumentsUsage();

    /** Returns a short description of what the command does. */
    String summary();

    /** Returns complete example command lines. */
    List<String> examples();

    /** Returns the options of the command, without those that all commands share. */
    Options options();

    /**
     * Runs the command.
     *
     * @throws org.cicadalead.model.error.CicadaleadException if the command fails; its kind determines the exit code
     */
    ExitCode run(CommandLine arguments, Console console);
}
