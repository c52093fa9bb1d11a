package org.cicadalead.logic.work;

import org.cicadalead.model.work.RunKey;

/**
 * The last run of a task that has ended in the view of the leader, and by what evidence. Immutable.
 *
 * @param key the run
 * @param host identifier of the host that it was ordered on
 * @param ran whether it was confirmed as active before it ended
 * @param evidence why the leader counts it as ended
 * @param detail the ending that the host listed or the reply to the order to start; empty for other evidence
 * @param endedAt monotonic time in milliseconds at which the leader learned of the end
 */
record LastRun(RunKey key, String host, boolean ran, Evidence evidence, String detail, long endedAt) {
    /** Creates the value for a run that the leader drops without a listed end. */
    static LastRun ofDropped(WorkRun run, Evidence evidence, String detail, long now) {
        boolean ran = run.wasConfirmed();
        return new LastRun(run.key, run.host.identifier, ran, evidence, detail, now);
    }

    /** Returns the evidence with its detail, for the log. */
    String describeEvidence() {
        return detail.isEmpty() ? evidence.name() : evidence.name() + ' ' + detail;
    }

    /** Evidence that a run has ended. */
    enum Evidence {
        /** The host listed its end. */
        LISTED_END,
        /** The host no longer lists it. */
        NOT_LISTED,
        /** The host rejected the order to start it. */
        START_REJECTED,
        /** The host is unreachable, and all its leases have expired. */
        LEASE_EXPIRED,
        /** The process of the host has ended. */
        HOST_ENDED
    }
}
