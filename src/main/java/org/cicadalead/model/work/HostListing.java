package org.cicadalead.model.work;

import java.util.List;

/**
 * Reply of a host to a poll, which lists its runs. Immutable.
 *
 * @param bornMilliseconds wall clock time in milliseconds when the host's process started
 * @param clockMilliseconds the host's monotonic clock in milliseconds
 * @param active active runs
 * @param ended ended runs that were not acknowledged
 */
public record HostListing(long bornMilliseconds, long clockMilliseconds, List<ActiveRun> active, List<EndedRun> ended) {
    /** Copies the lists. */
    public HostListing {
        active = List.copyOf(active);
        ended = List.copyOf(ended);
    }
}
