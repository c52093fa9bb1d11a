package org.cicadalead.logic.work;

import org.cicadalead.model.work.HostClaim;
import org.cicadalead.model.work.LeaderRecord;

/**
 * The last record of an earlier term, and the time from which its bounds count. No lease of a leader outlives a fixed
 * time after it sent its last confirmed heartbeat. That heartbeat was sent before any process observed its record, so
 * no lease outlives the bounds of the record, counted from the observation. Immutable.
 *
 * @param lastRecord the newest record that was in the store when the next term was claimed
 * @param observedAt time on this process's monotonic clock in milliseconds by which the record had been sent. The clock
 *     must not run ahead while the machine is suspended, as the bounds would end too early.
 */
public record EarlierTerm(LeaderRecord lastRecord, long observedAt) {
    /** Returns the milliseconds from a time on after which hosts that reply or are not claimed have no lease. */
    long remainingMaximumLease(SchedulingTerms terms, long now) {
        return Math.max(0, observedAt + maximumLease(terms) - now);
    }

    /** Returns the milliseconds from a time on after which a claimed host has no lease. */
    long remainingLease(HostClaim claim, SchedulingTerms terms, long now) {
        // A host that does not reply gets no lease before a later record is stored.
        long bound = claim.answering() ? Math.max(claim.remainingLease(), maximumLease(terms)) : claim.remainingLease();
        return Math.max(0, observedAt + bound - now);
    }

    private long maximumLease(SchedulingTerms terms) {
        return lastRecord
                .leasesExpireAfter()
                .orElse(lastRecord.resigned() ? 0 : terms.unannouncedLeaseExpiryMilliseconds());
    }
}
