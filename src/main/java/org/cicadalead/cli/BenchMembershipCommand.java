package org.cicadalead.cli;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cicadalead.adapters.codec.DomainMappers;
import org.cicadalead.bench.membership.MembershipBench;
import org.cicadalead.bench.membership.MembershipBenchResult;

/** Runs the benchmark of heartbeats with several numbers of members. Stateless. */
final class BenchMembershipCommand implements Subcommand {
    private static final List<Integer> MEMBER_COUNTS = List.of(10, 20, 40, 100);
    private static final Duration DEFAULT_DURATION = Duration.ofSeconds(20);
    private static final String DEFAULT_PART_BYTES = "64";

    @Override
    public String commandName() {
        return "bench membership";
    }

    @Override
    public String argumentsUsage() {
        return "[--for DURATION] [--part-bytes NUMBER]";
    }

    @Override
    public String summary() {
        return "measures what heartbeats cost against the number of members";
    }

    @Override
    public List<String> examples() {
        return List.of("cicadalead bench membership --json");
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.optionWithValue("for", "DURATION", "how long each size is measured (20s)"))
                .addOption(CommandOptions.optionWithValue(
                        "part-bytes",
                        "NUMBER",
                        "bytes that other parts add to a heartbeat (" + DEFAULT_PART_BYTES + ")"));
    }

    @Override
    public ExitCode run(CommandLine arguments, Console console) {
        Duration duration = OptionReader.readDuration(arguments, "for").orElse(DEFAULT_DURATION);
        int partBytes = parsePartBytes(arguments);
        List<MembershipBenchResult> results = new ArrayList<>();
        for (int memberCount : MEMBER_COUNTS) {
            console.printProgress("measuring " + memberCount + " members");
            results.add(MembershipBench.run(memberCount, partBytes, duration));
        }
        console.printResult(results, TextTable.ofRows(DomainMappers.json().valueToTree(results)));
        return ExitCode.DONE;
    }

    private static int parsePartBytes(CommandLine arguments) {
        try {
            return Integer.parseUnsignedInt(arguments.getOptionValue("part-bytes", DEFAULT_PART_BYTES));
        } catch (NumberFormatException malformed) {
            throw OptionReader.badUsage("--part-bytes: use a whole number");
        }
    }
}
