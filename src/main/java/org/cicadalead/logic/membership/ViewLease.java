package org.cicadalead.logic.membership;

/**
 * Proof that a view of an availability zone's hosts was recently current. The lease starts just before the view was
 * requested, so that network delays only shorten it. Immutable.
 *
 * @param requestedAtNanoseconds when the view was requested, on the holder's monotonic clock
 * @param requiredOffset offset that the holder must have folded for the lease to cover its view
 */
public record ViewLease(long requestedAtNanoseconds, long requiredOffset) {
    /** Returns whether the lease covers a view at an offset now. */
    public boolean covers(long offset, long nowNanoseconds) {
        return offset >= requiredOffset
                && nowNanoseconds - requestedAtNanoseconds < LeaseDurations.VIEW_LEASE_DURATION.toNanos();
    }
}
