package org.cicadalead.adapters.job;

/** Mutations that the oracle must catch; none in the real suite. */
enum JobSimulationMutation {
    NONE,
    /** A lapsed lease is taken for a stopped task, also for jobs that are not idempotent. */
    LAPSED_LEASE_TAKEN_FOR_STOP,
    /** A task that cannot be reached is reported as stopped. */
    UNREACHABLE_TAKEN_FOR_STOPPED,
    /** The platform starts tasks under old epochs. */
    NO_FENCE,
    /** Reports of finished tasks are dropped. */
    FINISH_NOT_REPORTED,
    /** Finished tasks are reported as stopped. */
    FINISH_TAKEN_FOR_STOP
}
