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

/** Measures the time from an append to a configuration in force in every entry process, over loopback. Stateless. */
public final class InForceBench {
    private static final int PUBLICATIONS = 50;
    private static final String FILE = "99-bench.toml";
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private InForceBench() {}

    /** Runs the entry processes of an example deployment in this process. */
    public static InForceResult run(String deployment) {
        try (QuickstartFleet fleet = QuickstartFleet.start(ExampleDeployment.load(deployment))) {
            List<Double> times = new ArrayList<>();
            long version = 0;
            for (int count = 1; count <= PUBLICATIONS; count++) {
                UnitChange change = new UnitChange(FILE, version, Optional.of(createUnit(count)));
                long start = System.nanoTime();
                version = fleet.publishChange(change);
                fleet.awaitInForce(version);
                times.add((System.nanoTime() - start) / NANOSECONDS_PER_MILLISECOND);
            }
            Collections.sort(times);
            return new InForceResult(
                    fleet.entries().size(), PUBLICATIONS, times.get(PUBLICATIONS / 2), times.get(PUBLICATIONS - 1));
        }
    }

    private static ConfigurationUnit createUnit(int share) {
        List<ConfigurationProblem> problems = new ArrayList<>();
        return ConfigurationUnitReader.read(FILE, "[[team]]\nname = \"bench\"\nshare = " + share + "\n", problems);
    }

    /**
     * Times until in force. Immutable.
     *
     * @param processes entry processes
     * @param publications publications, one after the other
     * @param medianMilliseconds median time from the append to the last process
     * @param maximumMilliseconds longest of these times
     */
    public record InForceResult(
            int processes, int publications, double medianMilliseconds, double maximumMilliseconds) {}
}
