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

/** Measures planners and fold over a day of failures, against plain baselines. Stateless. */
final class BenchOutcomesCommand implements Subcommand {
    private static final String DEFAULT_DEPLOYMENT = "blue-mountain";
    private static final Duration DAY = Duration.ofHours(24);
    private static final Duration SHORT_DAY = Duration.ofHours(4);
    private static final String TARGET = "target";

    @Override
    public String words() {
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
                .addOption(withArgument("deployment", "NAME", "blue-mountain (the default) or dakar-wage-survey"))
                .addOption(withArgument("seed", "N", "seed of the day's events (1)"))
                .addOption(withArgument("size", "SIZE", "'target' for 1,400 hosts with the deployment's first measure"))
                .addOption(withArgument("for", "DURATION", "length of the day (24h, or 4h at the target's size)"));
    }

    @Override
    public ExitCode run(CommandLine arguments, Console console) {
        String name = arguments.getOptionValue("deployment", DEFAULT_DEPLOYMENT);
        List<ConfigurationUnit> units = BenchFleet.fromExample(name);
        boolean target = arguments.hasOption("size");
        if (target && !arguments.getOptionValue("size").equals(TARGET)) {
            throw OptionReader.badUsage("--size takes only '" + TARGET + "'");
        }
        if (target) {
            units = BenchFleet.ofTargetSize(firstMeasure(units));
        }
        Duration length = OptionReader.duration(arguments, "for").orElse(target ? SHORT_DAY : DAY);
        OutcomesReport report = OutcomesBench.run(
                target ? name + " at the target's size" : name, units, seed(arguments), length, console::progress);
        console.result(report, report.toText());
        return report.isClean() ? ExitCode.DONE : ExitCode.FAILED;
    }

    private static Measure firstMeasure(List<ConfigurationUnit> units) {
        return units.stream()
                .flatMap(unit -> unit.deployment().stream())
                .map(deployment -> deployment.firstMeasure())
                .findFirst()
                .orElse(Measure.BUFFER_COST);
    }

    private static long seed(CommandLine arguments) {
        try {
            return Long.parseLong(arguments.getOptionValue("seed", "1"));
        } catch (NumberFormatException malformed) {
            throw OptionReader.badUsage("--seed must be a whole number");
        }
    }

    private static Option withArgument(String name, String argument, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(argument)
                .desc(description)
                .build();
    }
}
