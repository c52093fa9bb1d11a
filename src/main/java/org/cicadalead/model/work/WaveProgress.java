package org.cicadalead.model.work;

import java.util.Set;

/**
 * Stored progress of a maintenance wave, from which a successor continues. Immutable.
 *
 * @param number number of the wave
 * @param startedMilliseconds wall clock time in milliseconds when the wave was first read
 * @param finished machines that have begun their maintenance, or no longer exist
 */
public record WaveProgress(long number, long startedMilliseconds, Set<String> finished) {
    /** Copies the set. */
    public WaveProgress {
        finished = Set.copyOf(finished);
    }
}
