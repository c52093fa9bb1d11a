package org.cicadalead.adapters.job;

import java.util.Optional;

/**
 * The body of a submission. Immutable.
 *
 * @param pool the pool that it runs on
 * @param processors processor cores that it needs
 * @param memoryGigabytes memory in gigabytes that it needs
 * @param accelerators accelerators that it needs; none when missing
 * @param idempotent whether it may be run again while an earlier task may still run; false when missing
 * @param payload what the worker is to run
 */
public record JobRequest(
        String pool,
        double processors,
        double memoryGigabytes,
        Optional<Integer> accelerators,
        Optional<Boolean> idempotent,
        String payload) {
    /** Checks that the pool is named. */
    public JobRequest {
        if (pool == null || payload == null) {
            throw new IllegalArgumentException("A job names its 'pool' and its 'payload'");
        }
    }
}
