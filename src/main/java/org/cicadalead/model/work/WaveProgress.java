package org.cicadalead.model.work;

import java.util.Set;

/**
 * What is kept of a maintenance wave, so that a successor does not begin anew. Immutable.
 *
 * @param number number of the wave
 * @param startedMilliseconds wall clock time when it was first seen
 * @param finished machines that have begun their maintenance, or do not exist any more
 */
public record WaveProgress(long number, long startedMilliseconds, Set<String> finished) {
    /** Copies the set. */
    public WaveProgress {
        finished = Set.copyOf(finished);
    }
}
