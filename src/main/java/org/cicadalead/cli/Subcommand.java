package org.cicadalead.cli;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** One command of the command line. Implementations are stateless. */
public interface Subcommand {
    /** Returns the words that call it, such as {@code stand-in platform}. */
    String commandName();

    /** Returns the arguments after the name, as shown in the usage line. */
    String argumentsUsage();

    /** Returns one sentence on what it does. */
    String summary();

    /** Returns complete example lines. */
    List<String> examples();

    /** Returns its options, without the common ones. */
    Options options();

    /**
     * Runs the command.
     *
     * @throws org.cicadalead.model.error.CicadaleadException when it cannot; the kind decides on the exit code
     */
    ExitCode run(CommandLine arguments, Console console);
}
