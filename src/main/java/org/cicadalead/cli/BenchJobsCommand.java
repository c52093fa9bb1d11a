package org.cicadalead.cli;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cicadalead.adapters.codec.DomainMappers;
import org.cicadalead.bench.jobs.JobBench;
import org.cicadalead.bench.jobs.JobBenchResult;

/** Runs the benchmark of long jobs with increasing numbers of jobs. Stateless. */
final class BenchJobsCommand implements Subcommand {
    private static final List<Integer> JOB_COUNTS = List.of(100, 1_000, 10_000);
    private static final String DEFAULT_SEED = "1";

    @Override
    public String commandName() {
        return "bench jobs";
    }

    @Override
    public String argumentsUsage() {
        return "[--seed NUMBER]";
    }

    @Override
    public String summary() {
        return "measures planning, fold and appends of long jobs";
    }

    @Override
    public List<String> examples() {
        return List.of("cicadalead bench jobs --json");
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.optionWithValue(
                        "seed", "NUMBER", "seed of sizes, run times and faults (" + DEFAULT_SEED + ")"));
    }

    @Override
    public ExitCode run(CommandLine arguments, Console console) {
        long seed = parseSeed(arguments);
        List<JobBenchResult> results = new ArrayList<>();
        for (int jobCount : JOB_COUNTS) {
            console.printProgress("running " + jobCount + " jobs");
            results.add(JobBench.run(jobCount, seed));
        }
        console.printResult(results, TextTable.ofRows(DomainMappers.json().valueToTree(results)));
        return results.stream().allMatch(result -> result.violations() == 0) ? ExitCode.DONE : ExitCode.FAILED;
    }

    private static long parseSeed(CommandLine arguments) {
        try {
            return Long.parseLong(arguments.getOptionValue("seed", DEFAULT_SEED));
        } catch (NumberFormatException malformed) {
            throw OptionReader.badUsage("--seed: use a whole number");
        }
    }
}
