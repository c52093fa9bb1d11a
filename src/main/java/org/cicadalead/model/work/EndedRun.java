package org.cicadalead.model.work;

/**
 * A run that a host reports as ended until the report is acknowledged. Immutable.
 *
 * @param number position of the report in the host's sequence
 * @param run the run
 * @param ending how it ended
 * @param checkpoint newest checkpoint, empty if there is none
 */
public record EndedRun(long number, RunKey run, RunEnding ending, String checkpoint) {}
