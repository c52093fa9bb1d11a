package org.cicadalead.logic.work;

/**
 * A point in time on both clocks of a process. Immutable.
 *
 * @param monotonic milliseconds on the monotonic clock; only differences are meaningful
 * @param wall milliseconds since 1970
 */
public record WorkTime(long monotonic, long wall) {}
