package org.cicadalead.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cicadalead.adapters.standin.PlatformStandIn;
import org.cicadalead.adapters.toml.ConfigurationFolderReader;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.fleet.HostHealth;

/** Runs a stand-in for the platform until the program is terminated. Stateless. */
final class PlatformStandInCommand implements Subcommand {
    private static final String DEFAULT_ADDRESS = "127.0.0.1:20000";

    @Override
    public String commandName() {
        return "stand-in platform";
    }

    @Override
    public String argumentsUsage() {
        return "[--listen ADDRESS:PORT] [--hosts FOLDER]";
    }

    @Override
    public String summary() {
        return "runs a stand-in for the platform, kept in memory";
    }

    @Override
    public List<String> examples() {
        return List.of("cicadalead stand-in platform --listen " + DEFAULT_ADDRESS + " --hosts examples/blue-mountain");
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.optionWithValue(
                        "listen", "ADDRESS:PORT", "where to listen (" + DEFAULT_ADDRESS + ")"))
                .addOption(CommandOptions.optionWithValue(
                        "hosts", "FOLDER", "list the hosts of a configuration folder as live; none without it"));
    }

    @Override
    public ExitCode run(CommandLine arguments, Console console) {
        NetworkAddress listenAddress = OptionReader.readAddress(arguments, "listen", DEFAULT_ADDRESS);
        try (PlatformStandIn platform = new PlatformStandIn(listenAddress.address(), listenAddress.port())) {
            Optional.ofNullable(arguments.getOptionValue("hosts"))
                    .ifPresent(folder -> listHosts(platform, Path.of(folder)));
            console.printProgress("platform stand-in: http://" + platform.address());
            EntryCommand.awaitForever(new CountDownLatch(1));
        }
        return ExitCode.DONE;
    }

    private static void listHosts(PlatformStandIn platform, Path folder) {
        ConfigurationFolderReader.read(folder).units().stream()
                .flatMap(unit -> unit.hosts().stream())
                .forEach(host -> platform.putHost(host.name(), HostHealth.UP));
    }
}
