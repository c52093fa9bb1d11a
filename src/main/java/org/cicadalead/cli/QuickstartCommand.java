package org.cicadalead.cli;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cicadalead.adapters.quickstart.ExampleDeployment;
import org.cicadalead.adapters.quickstart.QuickstartFleet;
import org.cicadalead.adapters.quickstart.QuickstartReport;
import org.cicadalead.adapters.quickstart.QuickstartScenario;

/** Runs an example deployment with embedded stand-ins in this process. Stateless. */
final class QuickstartCommand implements Subcommand {
    private static final String DEFAULT_DEPLOYMENT = "blue-mountain";

    @Override
    public String commandName() {
        return "quickstart";
    }

    @Override
    public String argumentsUsage() {
        return "[--deployment NAME] [--for DURATION]";
    }

    @Override
    public String summary() {
        return "runs an example deployment on embedded stand-ins, over loopback sockets";
    }

    @Override
    public List<String> examples() {
        return List.of(
                "cicadalead quickstart", "cicadalead quickstart --deployment dakar-wage-survey --for 20s --json");
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.optionWithValue(
                        "deployment", "NAME", "blue-mountain (the default) or dakar-wage-survey"))
                .addOption(CommandOptions.optionWithValue(
                        "for",
                        "DURATION",
                        "plays the deployment's day in this time and reports; without it, runs until stopped"));
    }

    @Override
    public ExitCode run(CommandLine arguments, Console console) {
        String name = arguments.getOptionValue("deployment", DEFAULT_DEPLOYMENT);
        Optional<Duration> duration = OptionReader.readDuration(arguments, "for");
        ExampleDeployment deployment = ExampleDeployment.load(name);
        try (QuickstartFleet fleet = QuickstartFleet.start(deployment)) {
            console.printProgress("entry processes: " + fleet.callerAddresses());
            if (duration.isEmpty()) {
                console.output()
                        .println("Try: curl -d hello http://"
                                + fleet.callerAddresses().get(0) + "/services/"
                                + deployment.services().get(0) + "/try");
                EntryCommand.awaitForever(new CountDownLatch(1));
                return ExitCode.DONE;
            }
            QuickstartReport report = new QuickstartScenario(fleet, duration.get(), console::printProgress).run();
            console.printResult(report, report.toText());
            return report.isClean() ? ExitCode.DONE : ExitCode.FAILED;
        }
    }
}
