package org.cicadalead.model.work;

/**
 * A run that a host reports as going on. Immutable.
 *
 * @param run the run
 * @param checkpoint newest checkpoint, empty for none
 * @param percentage share of its full speed at which it works
 * @param sample tail latency in milliseconds of a serving task, processor use of any other
 */
public record ActiveRun(RunKey run, String checkpoint, int percentage, long sample) {}
