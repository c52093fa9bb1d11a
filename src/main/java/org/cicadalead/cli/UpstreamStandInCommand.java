package org.cicadalead.cli;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cicadalead.adapters.standin.UpstreamStandIn;
import org.cicadalead.model.configuration.NetworkAddress;

/** Runs a stand-in for one worker until the program is terminated. Stateless. */
final class UpstreamStandInCommand implements Subcommand {
    private static final String DEFAULT_ADDRESS = "127.0.0.1:21001";
    private static final Duration DEFAULT_WORK_TIME = Duration.ofMillis(5);

    @Override
    public String commandName() {
        return "stand-in upstream";
    }

    @Override
    public String argumentsUsage() {
        return "[--listen ADDRESS:PORT] [--work-time DURATION]";
    }

    @Override
    public String summary() {
        return "runs a stand-in for one worker, which answers each request with its body";
    }

    @Override
    public List<String> examples() {
        return List.of("cicadalead stand-in upstream --listen " + DEFAULT_ADDRESS + " --work-time 5ms");
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.optionWithValue(
                        "listen", "ADDRESS:PORT", "where to listen (" + DEFAULT_ADDRESS + ")"))
                .addOption(CommandOptions.optionWithValue("work-time", "DURATION", "how long a request runs (5ms)"));
    }

    @Override
    public ExitCode run(CommandLine arguments, Console console) {
        NetworkAddress listenAddress = OptionReader.readAddress(arguments, "listen", DEFAULT_ADDRESS);
        Duration workTime = OptionReader.readDuration(arguments, "work-time").orElse(DEFAULT_WORK_TIME);
        try (UpstreamStandIn upstream = new UpstreamStandIn(listenAddress.address(), listenAddress.port(), workTime)) {
            console.printProgress("upstream stand-in: http://" + upstream.address());
            EntryCommand.awaitForever(new CountDownLatch(1));
        }
        return ExitCode.DONE;
    }
}
