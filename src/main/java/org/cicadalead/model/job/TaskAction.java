package org.cicadalead.model.job;

/**
 * What the platform is to be asked about a task. Immutable.
 *
 * @param kind what is asked
 * @param task the task
 */
public record TaskAction(TaskActionKind kind, TaskReference task) {}
