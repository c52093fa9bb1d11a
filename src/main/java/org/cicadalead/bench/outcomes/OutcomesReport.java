package org.cicadalead.bench.outcomes;

import java.util.List;
import org.cicadalead.logic.capacity.CapacityPolicy;

/**
 * What a day came to, for each policy on the same events. Immutable.
 *
 * @param deployment the fleet
 * @param firstMeasure the measure that the deployment puts first
 * @param seed the seed of the events
 * @param hours length of the day
 * @param hosts hosts of the fleet
 * @param policies one entry a policy
 */
public record OutcomesReport(
        String deployment, String firstMeasure, long seed, double hours, int hosts, List<PolicyOutcome> policies) {
    /** Copies the list. */
    public OutcomesReport {
        policies = List.copyOf(policies);
    }

    /** Tells whether no policy broke a promise by planned work. */
    public boolean isClean() {
        return policies.stream().allMatch(outcome -> outcome.violations() == 0);
    }

    /** Returns the report for people. */
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
     * One policy's day. Immutable.
     *
     * @param policy the policy
     * @param idleHostHours buffer cost: working hosts beyond every promise and demand
     * @param rollOutMinutes mean time from the start to the end of a wave over the fleet
     * @param waveMinutes the same for each wave
     * @param unfinishedWaves waves that had not ended with the day; their time counts up to there
     * @param moves hosts that changed pool by a planner's decision
     * @param violations promises broken with planned work's part
     * @param violationTexts the first of them
     * @param unplannedShortMinutes service-minutes below budget without any planned work
     * @param beyondCoverMinutes service-minutes below budget by failures larger than the budget covers, while planned
     *     work that had left room for the covered one was under way
     * @param belowPromiseHostHours hosts missing from promises, times hours
     * @param records records appended to the log
     * @param rejected records that the fold rejected, from races and careless commands
     * @param roundMedianMicroseconds median time of one planning round
     * @param roundNearlyAllMicroseconds 99th percentile of it
     * @param roundMedianKilobytes median of the memory that one planning round allocates, all of it short-lived
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
        /** Copies the list. */
        public PolicyOutcome {
            violationTexts = List.copyOf(violationTexts);
            waveMinutes = List.copyOf(waveMinutes);
        }
    }
}
