package org.cicadalead.bench.outcomes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.cicadalead.logic.capacity.CapacityPolicy;
import org.cicadalead.logic.configuration.ConfigurationMerger;
import org.cicadalead.model.configuration.ConfigurationUnit;
import org.cicadalead.model.configuration.FleetConfiguration;

/** Runs the same scenario with each capacity policy. Stateless. */
public final class OutcomesBench {
    private OutcomesBench() {}

    /** Runs a scenario on a fleet; {@code progress} receives the outcome of each policy as soon as it is known. */
    public static OutcomesReport run(
            String name, List<ConfigurationUnit> units, long seed, Duration length, Consumer<String> progress) {
        FleetConfiguration configuration = ConfigurationMerger.merge(units).configuration();
        Scenario scenario = Scenario.generate(configuration, seed, length.toMillis());
        List<OutcomesReport.PolicyOutcome> outcomes = new ArrayList<>();
        for (CapacityPolicy policy : CapacityPolicy.values()) {
            OutcomesReport.PolicyOutcome outcome = new ScenarioSimulation(units, policy, scenario, seed).run();
            outcomes.add(outcome);
            progress.accept(outcome.toString());
        }
        String firstMeasure = configuration
                .deployment()
                .map(deployment -> deployment.firstMeasure().label())
                .orElse("none");
        return new OutcomesReport(
                name,
                firstMeasure,
                seed,
                length.toMinutes() / 60.0,
                configuration.hosts().size(),
                outcomes);
    }
}
