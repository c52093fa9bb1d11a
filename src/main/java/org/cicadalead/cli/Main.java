package org.cicadalead.cli;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.logging.Level;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.cicadalead.adapters.event.LogFormat;
import org.cicadalead.adapters.event.LogSetup;
import org.cicadalead.adapters.event.ShutdownSafeLogManager;
import org.cicadalead.adapters.http.HttpServers;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;

/** The entry point of the command line. Stateless. */
public final class Main {
    private static final int HELP_WIDTH = 100;

    private Main() {}

    /** Runs one command and exits with its exit code. */
    public static void main(String[] arguments) {
        System.setProperty(ShutdownSafeLogManager.LOG_MANAGER_PROPERTY, ShutdownSafeLogManager.class.getName());
        HttpServers.configureProcess();
        System.exit(run(List.of(arguments), System.out, System.err).code());
    }

    /** Runs one command and returns its exit code. */
    public static ExitCode run(List<String> arguments, PrintStream output, PrintStream errors) {
        Optional<Subcommand> matchingSubcommand = Subcommands.find(arguments);
        if (matchingSubcommand.isEmpty()) {
            boolean isHelpRequested = arguments.isEmpty() || arguments.contains("--help") || arguments.contains("-h");
            (isHelpRequested ? output : errors).print(Subcommands.overview());
            return isHelpRequested ? ExitCode.DONE : ExitCode.BAD_USAGE;
        }
        Subcommand subcommand = matchingSubcommand.get();
        int nameLength = subcommand.commandName().split(" ", -1).length;
        return runSubcommand(subcommand, arguments.subList(nameLength, arguments.size()), output, errors);
    }

    private static ExitCode runSubcommand(
            Subcommand subcommand, List<String> arguments, PrintStream output, PrintStream errors) {
        Options options = subcommand.options();
        options.addOption(
                Option.builder("h").longOpt("help").desc("show this help").build());
        options.addOption(
                Option.builder().longOpt("json").desc("write results as JSON").build());
        if (arguments.contains("--help") || arguments.contains("-h")) {
            printHelp(subcommand, options, output);
            return ExitCode.DONE;
        }
        LogSetup.install(LogFormat.PLAIN, Level.SEVERE);
        try {
            CommandLine commandLine = new DefaultParser().parse(options, arguments.toArray(String[]::new));
            return subcommand.run(commandLine, new Console(output, errors, commandLine.hasOption("json")));
        } catch (ParseException malformed) {
            errors.println(malformed.getMessage());
            errors.println("Try: cicadalead " + subcommand.commandName() + " --help");
            return ExitCode.BAD_USAGE;
        } catch (CicadaleadException failure) {
            errors.println(failure.kind().code() + ": " + failure.getMessage());
            return exitCodeOf(failure.kind());
        }
    }

    private static ExitCode exitCodeOf(ErrorKind kind) {
        return switch (kind) {
            case INVALID_SETTINGS, INVALID_CONFIGURATION, MALFORMED_REQUEST -> ExitCode.BAD_USAGE;
            default -> ExitCode.FAILED;
        };
    }

    private static void printHelp(Subcommand subcommand, Options options, PrintStream output) {
        PrintWriter writer = new PrintWriter(output, false, StandardCharsets.UTF_8);
        HelpFormatter formatter = new HelpFormatter();
        String usage = "cicadalead " + subcommand.commandName() + " " + subcommand.argumentsUsage();
        String examples = "Examples:\n" + String.join("\n", indent(subcommand.examples()));
        formatter.printHelp(writer, HELP_WIDTH, usage.strip(), subcommand.summary(), options, 2, 2, examples);
        writer.flush();
    }

    private static List<String> indent(List<String> lines) {
        return Arrays.asList(lines.stream().map(line -> "  " + line).toArray(String[]::new));
    }
}
