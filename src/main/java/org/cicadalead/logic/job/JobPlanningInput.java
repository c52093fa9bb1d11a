package org.cicadalead.logic.job;

import org.cicadalead.model.job.TaskTable;
import org.cicadalead.model.state.SharedState;

/**
 * The inputs of one planning cycle. Immutable.
 *
 * @param state the shared state
 * @param tasks tasks as the platform last reported them
 * @param usage resource usage of earlier tasks
 * @param backoff placement delays of hosts with recent failures
 * @param nowNanoseconds current monotonic time in nanoseconds
 */
public record JobPlanningInput(
        SharedState state, TaskTable tasks, UsageHistory usage, HostBackoff backoff, long nowNanoseconds) {}
