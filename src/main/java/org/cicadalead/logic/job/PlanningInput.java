package org.cicadalead.logic.job;

import org.cicadalead.model.job.TaskTable;
import org.cicadalead.model.state.SharedState;

/**
 * All that a planning round depends on. Immutable.
 *
 * @param state the shared state
 * @param tasks the platform's tasks
 * @param usage what earlier tasks used
 * @param backoff hosts with recent failures
 * @param nowNanoseconds monotonic time in nanoseconds
 */
public record PlanningInput(
        SharedState state, TaskTable tasks, UsageHistory usage, HostBackoff backoff, long nowNanoseconds) {}
