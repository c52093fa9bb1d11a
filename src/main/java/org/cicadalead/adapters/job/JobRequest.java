package org.cicadalead.adapters.job;

import java.util.Optional;

/**
 * The request body of a job submission. Immutable.
 *
 * @param pool pool on whose hosts the job runs
 * @param processors number of processor cores that the job needs
 * @param memoryGigabytes memory that the job needs, in gigabytes
 * @param accelerators number of accelerators that the job needs; 0 if absent
 * @param idempotent whether the job may be run again while an earlier task may still run; false if absent
 * @param payload work for the worker to run
 */
public record JobRequest(
        String pool,
        double processors,
        double memoryGigabytes,
        Optional<Integer> accelerators,
        Optional<Boolean> idempotent,
        String payload) {
    /** Checks that pool and payload are present. */
    public JobRequest {
        if (pool == null || payload == null) {
            throw new IllegalArgumentException("A job names its 'pool' and its 'payload'");
        }
    }
}
