package org.cicadalead.logic.planning;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cicadalead.logic.capacity.CapacityPolicy;
import org.cicadalead.model.configuration.Measure;
import org.cicadalead.model.fleet.HostCondition;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.state.SharedState;

/**
 * All that one planning round looks at. Immutable.
 *
 * @param state the newest shared state
 * @param policy how spare capacity is held
 * @param suspects hosts that fail by this process's own view; they only make plans more careful
 * @param sustainedDemand hosts that each pool has needed for most of the last minutes
 * @param conditions what the platform says of reboots, for hosts that were asked about
 * @param listedUp hosts that the platform lists as live
 * @param ages how long hosts have been at their step
 * @param nowMilliseconds wall clock, in milliseconds since 1970
 */
public record PlanningInput(
        SharedState state,
        CapacityPolicy policy,
        Set<HostName> suspects,
        Map<PoolName, Integer> sustainedDemand,
        Map<HostName, HostCondition> conditions,
        Set<HostName> listedUp,
        StepAges ages,
        long nowMilliseconds) {
    /** A move that takes longer is no longer counted on, in milliseconds. */
    public static final long MOVE_TIMEOUT_MILLISECONDS = 120_000;

    /** Copies the collections. */
    public PlanningInput {
        suspects = Set.copyOf(suspects);
        sustainedDemand = Map.copyOf(sustainedDemand);
        conditions = Map.copyOf(conditions);
        listedUp = Set.copyOf(listedUp);
    }

    /** Returns the measure that the deployment puts first. */
    public Measure firstMeasure() {
        return state.configuration()
                .merged()
                .deployment()
                .map(deployment -> deployment.firstMeasure())
                .orElse(Measure.BUFFER_COST);
    }

    /** Returns the hosts that no plan counts on: suspects, and the oldest late move into each pool. */
    public Set<HostName> excludedHosts() {
        Set<HostName> uncounted = new HashSet<>(suspects);
        uncounted.addAll(ages.findLateMoves(state, MOVE_TIMEOUT_MILLISECONDS));
        return uncounted;
    }

    /** Returns this input with another state. */
    public PlanningInput withState(SharedState newState) {
        return new PlanningInput(
                newState, policy, suspects, sustainedDemand, conditions, listedUp, ages, nowMilliseconds);
    }

    /** Returns an input that knows nothing but the state, as for a preview. */
    public static PlanningInput ofState(SharedState state, CapacityPolicy policy, long nowMilliseconds) {
        return new PlanningInput(
                state,
                policy,
                Set.of(),
                Map.of(),
                new HashMap<>(),
                state.hosts().keySet(),
                StepAges.initial().withStateAt(state, nowMilliseconds),
                nowMilliseconds);
    }
}
