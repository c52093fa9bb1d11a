package org.cicadalead.cli;

import java.util.List;
import java.util.Optional;

/** Lists all commands and finds them by name. Immutable. */
final class Subcommands {
    private static final List<Subcommand> ALL = List.of(
            new QuickstartCommand(),
            new EntryCommand(),
            new CheckCommand(),
            new PublishCommand(),
            new StatusCommand(),
            new MoveCommand(),
            new RemoveMemberCommand(),
            new BenchMembershipCommand(),
            ShowCommand.POOLS,
            ShowCommand.HOSTS,
            new TimelineCommand(),
            new ReferenceCommand(),
            JobsCommand.SHOW,
            JobsCommand.CANCEL,
            JobsCommand.LIST,
            new BenchRequestsCommand(),
            new BenchJobsCommand(),
            new BenchStateCommand(),
            new PlatformEntryCommand(),
            new WarmUpCommand(),
            new PlatformStandInCommand(),
            new UpstreamStandInCommand(),
            new BenchOutcomesCommand(),
            WaveCommand.START,
            WaveCommand.LIST,
            WaveCommand.PAUSE,
            WaveCommand.RESUME,
            WaveCommand.ABORT,
            WaveCommand.PLAN,
            WaveCommand.DRAIN,
            WaveCommand.RETURN);

    private Subcommands() {}

    /** Returns all commands. */
    static List<Subcommand> all() {
        return ALL;
    }

    /** Finds the command with whose name the arguments start. */
    static Optional<Subcommand> find(List<String> arguments) {
        String joinedArguments = String.join(" ", arguments) + " ";
        return ALL.stream()
                .filter(subcommand -> joinedArguments.startsWith(subcommand.commandName() + " "))
                .findFirst();
    }

    /** Returns the help text that lists all commands. */
    static String overview() {
        StringBuilder text = new StringBuilder("Usage: cicadalead COMMAND [options]\n\nCommands:\n");
        for (Subcommand subcommand : ALL) {
            text.append(String.format("  %-20s %s%n", subcommand.commandName(), subcommand.summary()));
        }
        return text.append("\nEach command explains itself with --help.\n").toString();
    }
}
