package org.cicadalead.logic.membership;

/**
 * Proof that a view of an availability zone's hosts was current not long ago. The view counts from the moment before it
 * was asked for, so that delays on the way only shorten the lease. Immutable.
 *
 * @param requestedAtNanoseconds when it was asked for, on the holder's monotonic clock
 * @param requiredOffset offset that the holder must have folded for its view to be the confirmed one
 */
public record ViewLease(long requestedAtNanoseconds, long requiredOffset) {
    /** Tells whether the lease covers a view at an offset now. */
    public boolean covers(long offset, long nowNanoseconds) {
        return offset >= requiredOffset
                && nowNanoseconds - requestedAtNanoseconds < LeaseDurations.VIEW_LEASE_DURATION.toNanos();
    }
}
