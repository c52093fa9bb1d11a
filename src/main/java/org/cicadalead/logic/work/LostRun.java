package org.cicadalead.logic.work;

import org.cicadalead.model.work.RunKey;

/**
 * A run that counts as ended without a listed end: with its host, on a host that does not reply, or as its host does
 * not list it. Immutable.
 *
 * @param run the run
 * @param host identifier of the host
 * @param evidence why the leader counts the run as ended
 * @param wasConfirmed whether the host confirmed the order to start the run, or listed it
 * @param wasStarting whether the host was not known to have outlived the start of the run
 * @param orderedMilliseconds time since the run was ordered, or adopted from an earlier term
 * @param leaseEndedMilliseconds time since the lease of the host had ended for certain; negative while it has not
 * @param clockReadMilliseconds age of the reading of the host's clock from which the end of its lease counts
 * @param runsLost number of runs that were lost with the host, this one included
 * @param startsLost number of these that were starting
 */
public record LostRun(
        RunKey run,
        String host,
        String evidence,
        boolean wasConfirmed,
        boolean wasStarting,
        long orderedMilliseconds,
        long leaseEndedMilliseconds,
        long clockReadMilliseconds,
        int runsLost,
        int startsLost) {}
