package org.cicadalead.bench.outcomes;

import java.util.List;
import org.cicadalead.logic.capacity.CapacityPolicy;

/**
 * The outcomes of a scenario, for each capacity policy on the same events. Immutable.
 *
 * @param deployment the name of the fleet
 * @param firstMeasure the measure that the deployment puts first
 * @param seed the seed of the events
 * @param hours length of the scenario
 * @param hosts number of hosts of the fleet
 * @param policies the outcome of each policy
 */
public record OutcomesReport(
        String deployment, String firstMeasure, long seed, double hours, int hosts, List<PolicyOutcome> policies) {
    /** Copies {@code policies}. */
    public OutcomesReport {
        policies = List.copyOf(policies);
    }

    /** Returns whether no policy caused a violation. */
    public boolean isClean() {
        return policies.stream().allMatch(outcome -> outcome.violations() == 0);
    }

    /** Returns the report as readable text. */
    public String toText() {
        StringBuilder text = new StringBuilder(String.format(
                "%s (%d hosts), seed %d, %.1f hours, first measure %s%n",
                deployment, hosts, seed, hours, firstMeasure));
        for (PolicyOutcome outcome : policies) {
            text.append(String.format(
                    "%-20s idle %.1f host-hours, roll-out %.1f min %s, moves %d, violations %d, "
                            + "without plan's part %.1f min, beyond cover %.1f min, below promise %.1f host-hours, "
                            + "round %.0f us median, %.0f us p99, %.0f KB%n",
                    outcome.policy(),
                    outcome.idleHostHours(),
                    outcome.rollOutMinutes(),
                    outcome.waveMinutes().stream()
                            .map(minutes -> String.format("%.0f", minutes))
                            .toList(),
                    outcome.moves(),
                    outcome.violations(),
                    outcome.unplannedShortMinutes(),
                    outcome.beyondCoverMinutes(),
                    outcome.belowPromiseHostHours(),
                    outcome.roundMedianMicroseconds(),
                    outcome.roundNearlyAllMicroseconds(),
                    outcome.roundMedianKilobytes()));
            outcome.violationTexts()
                    .forEach(line -> text.append("    ").append(line).append(System.lineSeparator()));
        }
        return text.toString().stripTrailing();
    }

    /**
     * The outcome of one policy. Immutable.
     *
     * @param policy the policy
     * @param idleHostHours buffer cost: working hosts beyond both the promised and the demanded number, times hours
     * @param rollOutMinutes mean time from the start to the end of a maintenance wave over the fleet
     * @param waveMinutes this time for each wave
     * @param unfinishedWaves waves that had not ended when the scenario ended; their time is counted up to that end
     * @param moves how many times a planner's decision changed the pool of a host
     * @param violations number of violations of the rules that the oracle checks
     * @param violationTexts descriptions of the first violations
     * @param unplannedShortMinutes service-minutes below budget without any planned work
     * @param beyondCoverMinutes service-minutes below budget because of failures larger than the budget covers, during
     *     planned work that had left capacity for the covered failure
     * @param belowPromiseHostHours hosts missing from the promised number, times hours
     * @param records records appended to the log
     * @param rejected records that the fold rejected, from races and careless commands
     * @param roundMedianMicroseconds median time of one planning cycle
     * @param roundNearlyAllMicroseconds 99th percentile of this time
     * @param roundMedianKilobytes median of the memory that one planning cycle allocates, all of it short-lived
     */
    public record PolicyOutcome(
            CapacityPolicy policy,
            double idleHostHours,
            double rollOutMinutes,
            List<Double> waveMinutes,
            int unfinishedWaves,
            int moves,
            int violations,
            List<String> violationTexts,
            double unplannedShortMinutes,
            double beyondCoverMinutes,
            double belowPromiseHostHours,
            long records,
            long rejected,
            double roundMedianMicroseconds,
            double roundNearlyAllMicroseconds,
            double roundMedianKilobytes) {
        /** Copies {@code violationTexts} and {@code waveMinutes}. */
        public PolicyOutcome {
            violationTexts = List.copyOf(violationTexts);
            waveMinutes = List.copyOf(waveMinutes);
        }
    }
}
