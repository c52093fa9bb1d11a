package org.cicadalead.model.work;

/**
 * Identifies one run of a task. Immutable.
 *
 * @param task the task
 * @param attempt number of the run; later runs of a task have higher numbers
 */
public record RunKey(TaskKey task, long attempt) {}
