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
 * Input of one planning cycle. Immutable.
 *
 * @param state the newest shared state
 * @param policy the policy for spare capacity and maintenance
 * @param suspects hosts that have failed as far as this process can tell; they are not counted as available, so that
 *     they only make plans more conservative
 * @param sustainedDemand number of hosts that each pool has needed for most of the last minutes
 * @param conditions reboot condition that the platform reports, for the hosts that were queried
 * @param hostsListedAsUp hosts that the platform lists as up
 * @param ages how long each host has been at its current step
 * @param nowMilliseconds wall clock, in milliseconds since 1970
 */
public record PlanningInput(
        SharedState state,
        CapacityPolicy policy,
        Set<HostName> suspects,
        Map<PoolName, Integer> sustainedDemand,
        Map<HostName, HostCondition> conditions,
        Set<HostName> hostsListedAsUp,
        StepAges ages,
        long nowMilliseconds) {
    /** Time after which plans no longer rely on a move in progress, in milliseconds. */
    public static final long MOVE_TIMEOUT_MILLISECONDS = 120_000;

    /** Copies the collections. */
    public PlanningInput {
        suspects = Set.copyOf(suspects);
        sustainedDemand = Map.copyOf(sustainedDemand);
        conditions = Map.copyOf(conditions);
        hostsListedAsUp = Set.copyOf(hostsListedAsUp);
    }

    /** Returns the measure that the deployment optimizes first. */
    public Measure firstMeasure() {
        return state.configuration()
                .merged()
                .deployment()
                .map(deployment -> deployment.firstMeasure())
                .orElse(Measure.BUFFER_COST);
    }

    /** Returns the hosts that plans do not rely on: suspects, and the oldest overdue move into each pool. */
    public Set<HostName> excludedHosts() {
        Set<HostName> excludedHosts = new HashSet<>(suspects);
        excludedHosts.addAll(ages.findLateMoves(state, MOVE_TIMEOUT_MILLISECONDS));
        return excludedHosts;
    }

    /** Returns a copy with another state. */
    public PlanningInput withState(SharedState newState) {
        return new PlanningInput(
                newState, policy, suspects, sustainedDemand, conditions, hostsListedAsUp, ages, nowMilliseconds);
    }

    /** Returns an input from the state alone, as for a preview: no suspects, no demand, and all hosts listed as up. */
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
