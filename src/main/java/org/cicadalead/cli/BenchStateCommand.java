package org.cicadalead.cli;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cicadalead.adapters.codec.DomainMappers;
import org.cicadalead.bench.state.FleetSize;
import org.cicadalead.bench.state.InForceBench;
import org.cicadalead.bench.state.InForceBench.InForceResult;
import org.cicadalead.bench.state.StartBench;
import org.cicadalead.bench.state.StateBench;
import org.cicadalead.bench.state.StateBenchResult;

/** Runs the benchmark of the shared state with fleets up to the target size. Stateless. */
final class BenchStateCommand implements Subcommand {
    private static final List<Integer> DIVISORS = List.of(8, 4, 2, 1);
    private static final String DEPLOYMENT = "blue-mountain";

    @Override
    public String commandName() {
        return "bench state";
    }

    @Override
    public String argumentsUsage() {
        return "";
    }

    @Override
    public String summary() {
        return "measures folding, memory, snapshots and the time until in force";
    }

    @Override
    public List<String> examples() {
        return List.of("cicadalead bench state --json");
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public ExitCode run(CommandLine arguments, Console console) {
        List<StateBenchResult> sizes = new ArrayList<>();
        for (int divisor : DIVISORS) {
            console.printProgress("measuring 1/" + divisor + " of the target");
            sizes.add(StateBench.run(FleetSize.TARGET.dividedBy(divisor)));
        }
        console.printProgress("measuring the time until ready");
        List<StartResult> starts = new ArrayList<>();
        for (int divisor : DIVISORS) {
            FleetSize size = FleetSize.TARGET.dividedBy(divisor);
            starts.add(new StartResult(size.hosts(), StartBench.measureMillisecondsUntilReady(size)));
        }
        console.printProgress("measuring the time until in force");
        InForceResult inForce = InForceBench.run(DEPLOYMENT);
        BenchResult result = new BenchResult(sizes, starts, inForce);
        console.printResult(
                result, TextTable.ofRows(DomainMappers.json().valueToTree(sizes)) + "\n" + starts + "\n" + inForce);
        return ExitCode.DONE;
    }

    /**
     * The results of the benchmark, written as JSON.
     *
     * @param sizes measurements for each fleet size
     * @param starts time until ready after a start from a checkpoint, for each fleet size
     * @param inForce time until a published configuration is in force
     */
    record BenchResult(List<StateBenchResult> sizes, List<StartResult> starts, InForceResult inForce) {
        BenchResult {
            sizes = List.copyOf(sizes);
            starts = List.copyOf(starts);
        }
    }

    /**
     * The time until a process is ready that starts from a checkpoint followed by 10,000 log records.
     *
     * @param hosts number of hosts in the fleet
     * @param milliseconds time in milliseconds from the start until the process has applied the log to its end
     */
    record StartResult(int hosts, double milliseconds) {}
}
