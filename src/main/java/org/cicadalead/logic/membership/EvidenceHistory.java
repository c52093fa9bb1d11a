package org.cicadalead.logic.membership;

import java.time.Duration;

/**
 * The latest unbroken run of equal evidence on a member. Immutable.
 *
 * @param evidence the evidence
 * @param count attempts that showed it
 * @param sinceNanoseconds when the first of them began, on the monotonic clock
 */
public record EvidenceHistory(PeerEvidence evidence, int count, long sinceNanoseconds) {
    /**
     * How long evidence must last before it is acted on; longer than a sponsored process serves without its sponsor.
     */
    public static final Duration LASTING = LeaseTerms.LAPSE_WAIT;

    private static final int LASTING_COUNT = 3;

    /** Returns the history after the first attempt. */
    public static EvidenceHistory first(PeerEvidence evidence, long nowNanoseconds) {
        return new EvidenceHistory(evidence, 1, nowNanoseconds);
    }

    /** Returns the history after another attempt. */
    public EvidenceHistory with(PeerEvidence next, long nowNanoseconds) {
        return next == evidence
                ? new EvidenceHistory(evidence, count + 1, sinceNanoseconds)
                : first(next, nowNanoseconds);
    }

    /** Tells whether the member has certainly ended. */
    public boolean showsEnd(long nowNanoseconds) {
        return evidence == PeerEvidence.ENDED && lasts(nowNanoseconds);
    }

    /** Tells whether the member cannot be reached, so that it cannot reach hosts here either. */
    public boolean showsCut(long nowNanoseconds) {
        boolean away = evidence == PeerEvidence.ENDED || evidence == PeerEvidence.CUT_OFF;
        return away && lasts(nowNanoseconds);
    }

    private boolean lasts(long nowNanoseconds) {
        return count >= LASTING_COUNT && nowNanoseconds - sinceNanoseconds >= LASTING.toNanos();
    }
}
