package org.cicadalead.model.work;

import java.util.List;

/**
 * What a host says of its runs. Immutable.
 *
 * @param bornMilliseconds wall clock time when the host's process started
 * @param clockMilliseconds the host's monotonic clock
 * @param active runs that go on
 * @param ended ends that were not acknowledged
 */
public record HostListing(long bornMilliseconds, long clockMilliseconds, List<ActiveRun> active, List<EndedRun> ended) {
    /** Copies the lists. */
    public HostListing {
        active = List.copyOf(active);
        ended = List.copyOf(ended);
    }
}
