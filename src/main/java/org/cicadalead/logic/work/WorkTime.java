package org.cicadalead.logic.work;

/**
 * A moment on both clocks of a process. Immutable.
 *
 * @param monotonic milliseconds on the monotonic clock; only differences have a meaning
 * @param wall milliseconds since 1970
 */
public record WorkTime(long monotonic, long wall) {}
