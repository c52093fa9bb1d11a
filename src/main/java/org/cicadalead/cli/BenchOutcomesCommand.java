package org.cicadalead.cli;

import java.time.Duration;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cicadalead.bench.outcomes.BenchFleet;
import org.cicadalead.bench.outcomes.OutcomesBench;
import org.cicadalead.bench.outcomes.OutcomesReport;
import org.cicadalead.model.configuration.ConfigurationUnit;
import org.cicadalead.model.configuration.Measure;

/** Runs the benchmark that compares planners and fold with simple baselines in a failure scenario. Stateless. */
final class BenchOutcomesCommand implements Subcommand {
    private static final String DEFAULT_DEPLOYMENT = "blue-mountain";
    private static final Duration DEFAULT_LENGTH = Duration.ofHours(24);
    private static final Duration DEFAULT_TARGET_SIZE_LENGTH = Duration.ofHours(4);
    private static final String TARGET_SIZE = "target";

    @Override
    public String commandName() {
        return "bench outcomes";
    }

    @Override
    public String argumentsUsage() {
        return "[--deployment NAME] [--seed N] [--size target] [--for DURATION]";
    }

    @Override
    public String summary() {
        return "measures buffer cost, roll-out time and moves over a day of failures, in virtual time";
    }

    @Override
    public List<String> examples() {
        return List.of(
                "cicadalead bench outcomes --deployment blue-mountain --seed 1 --json",
                "cicadalead bench outcomes --deployment dakar-wage-survey --size target --seed 1");
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(optionWithValue("deployment", "NAME", "blue-mountain (the default) or dakar-wage-survey"))
                .addOption(optionWithValue("seed", "N", "seed of the day's events (1)"))
                .addOption(
                        optionWithValue("size", "SIZE", "'target' for 1,400 hosts with the deployment's first measure"))
                .addOption(optionWithValue("for", "DURATION", "length of the day (24h, or 4h at the target's size)"));
    }

    @Override
    public ExitCode run(CommandLine arguments, Console console) {
        String name = arguments.getOptionValue("deployment", DEFAULT_DEPLOYMENT);
        List<ConfigurationUnit> units = BenchFleet.fromExample(name);
        boolean isTargetSize = arguments.hasOption("size");
        if (isTargetSize && !arguments.getOptionValue("size").equals(TARGET_SIZE)) {
            throw OptionReader.badUsage("--size takes only '" + TARGET_SIZE + "'");
        }
        if (isTargetSize) {
            units = BenchFleet.ofTargetSize(findFirstMeasure(units));
        }
        Duration length = OptionReader.readDuration(arguments, "for")
                .orElse(isTargetSize ? DEFAULT_TARGET_SIZE_LENGTH : DEFAULT_LENGTH);
        OutcomesReport report = OutcomesBench.run(
                isTargetSize ? name + " at the target's size" : name,
                units,
                parseSeed(arguments),
                length,
                console::printProgress);
        console.printResult(report, report.toText());
        return report.isClean() ? ExitCode.DONE : ExitCode.FAILED;
    }

    private static Measure findFirstMeasure(List<ConfigurationUnit> units) {
        return units.stream()
                .flatMap(unit -> unit.deployment().stream())
                .map(deployment -> deployment.firstMeasure())
                .findFirst()
                .orElse(Measure.BUFFER_COST);
    }

    private static long parseSeed(CommandLine arguments) {
        try {
            return Long.parseLong(arguments.getOptionValue("seed", "1"));
        } catch (NumberFormatException malformed) {
            throw OptionReader.badUsage("--seed must be a whole number");
        }
    }

    private static Option optionWithValue(String name, String argument, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(argument)
                .desc(description)
                .build();
    }
}
