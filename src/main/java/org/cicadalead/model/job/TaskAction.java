package org.cicadalead.model.job;

/**
 * An action on a task to request from the platform. Immutable.
 *
 * @param kind action to request
 * @param task task that the action applies to
 */
public record TaskAction(TaskActionKind kind, TaskReference task) {}
