package org.cicadalead.bench.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.cicadalead.adapters.quickstart.ExampleDeployment;
import org.cicadalead.adapters.quickstart.QuickstartFleet;
import org.cicadalead.adapters.toml.ConfigurationUnitReader;
import org.cicadalead.model.command.ConfigurationCommand.UnitChange;
import org.cicadalead.model.configuration.ConfigurationProblem;
import org.cicadalead.model.configuration.ConfigurationUnit;

/**
 * Measures the time from the append of a configuration until it is in force in every entry process, over loopback.
 * Stateless.
 */
public final class InForceBench {
    private static final int PUBLICATIONS = 50;
    private static final String FILE = "99-bench.toml";
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private InForceBench() {}

    /** Runs the measurement with the entry processes of an example deployment, all of them in this process. */
    public static InForceResult run(String deployment) {
        try (QuickstartFleet fleet = QuickstartFleet.start(ExampleDeployment.load(deployment))) {
            List<Double> timesInMilliseconds = new ArrayList<>();
            long version = 0;
            for (int count = 1; count <= PUBLICATIONS; count++) {
                UnitChange change = new UnitChange(FILE, version, Optional.of(createUnit(count)));
                long startNanoseconds = System.nanoTime();
                version = fleet.publishChange(change);
                fleet.awaitInForce(version);
                timesInMilliseconds.add((System.nanoTime() - startNanoseconds) / NANOSECONDS_PER_MILLISECOND);
            }
            Collections.sort(timesInMilliseconds);
            return new InForceResult(
                    fleet.entries().size(),
                    PUBLICATIONS,
                    timesInMilliseconds.get(PUBLICATIONS / 2),
                    timesInMilliseconds.get(PUBLICATIONS - 1));
        }
    }

    private static ConfigurationUnit createUnit(int share) {
        List<ConfigurationProblem> problems = new ArrayList<>();
        return ConfigurationUnitReader.read(FILE, "[[team]]\nname = \"bench\"\nshare = " + share + "\n", problems);
    }

    /**
     * The times until a configuration is in force. Immutable.
     *
     * @param processes number of entry processes
     * @param publications number of publications, one after the other
     * @param medianMilliseconds median time from the append until the last process has the configuration in force
     * @param maximumMilliseconds the longest of these times
     */
    public record InForceResult(
            int processes, int publications, double medianMilliseconds, double maximumMilliseconds) {}
}
