package org.cicadalead.model.work;

/**
 * A run that a host reports as active. Immutable.
 *
 * @param run the run
 * @param checkpoint newest checkpoint, empty if there is none
 * @param percentage speed in percent of its full speed
 * @param sample tail latency in milliseconds for a serving task, processor usage for any other task
 */
public record ActiveRun(RunKey run, String checkpoint, int percentage, long sample) {}
