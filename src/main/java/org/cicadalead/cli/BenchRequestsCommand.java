package org.cicadalead.cli;

import java.time.Duration;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cicadalead.bench.requests.RequestsBench;
import org.cicadalead.bench.requests.RequestsReport;

/** Runs the benchmark of the request path. Stateless. */
final class BenchRequestsCommand implements Subcommand {
    private static final Duration DEFAULT_DURATION = Duration.ofSeconds(3);

    @Override
    public String commandName() {
        return "bench requests";
    }

    @Override
    public String argumentsUsage() {
        return "[--for DURATION]";
    }

    @Override
    public String summary() {
        return "measures the request path against the direct way, and ways to keep limits";
    }

    @Override
    public List<String> examples() {
        return List.of("cicadalead bench requests --json", "cicadalead bench requests --for 10s");
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.optionWithValue(
                        "for", "DURATION", "time of each of the four loopback measurements (3s)"));
    }

    @Override
    public ExitCode run(CommandLine arguments, Console console) {
        Duration duration = OptionReader.readDuration(arguments, "for").orElse(DEFAULT_DURATION);
        RequestsReport report = RequestsBench.run(duration);
        console.printResult(report, Console.toJson(report));
        return ExitCode.DONE;
    }
}
