package org.cicadalead.model.work;

import java.util.List;

/**
 * Reply of a host to a poll, which lists its runs. Immutable.
 *
 * @param bornMilliseconds wall clock time in milliseconds when the host's process started
 * @param clockMilliseconds the host's monotonic clock in milliseconds
 * @param active active runs
 * @param ended ended runs that were not acknowledged, in the order of their numbers
 * @param hasFurtherEnds whether there may be ended runs with higher numbers, which a later reply lists once these are
 *     acknowledged; then a run that is missing in both lists may have ended
 */
public record HostListing(
        long bornMilliseconds,
        long clockMilliseconds,
        List<ActiveRun> active,
        List<EndedRun> ended,
        boolean hasFurtherEnds) {
    /** Copies the lists. */
    public HostListing {
        active = List.copyOf(active);
        ended = List.copyOf(ended);
    }

    /** Creates a listing of all ended runs that were not acknowledged. */
    public HostListing(long bornMilliseconds, long clockMilliseconds, List<ActiveRun> active, List<EndedRun> ended) {
        this(bornMilliseconds, clockMilliseconds, active, ended, false);
    }
}
