package org.cicadalead.adapters.job;

/** Mutations that the oracle must detect. {@code NONE} is used to check the real code. */
enum JobSimulationMutation {
    NONE,
    /** An expired lease is treated as a stopped task, even for jobs that are not idempotent. */
    LAPSED_LEASE_TAKEN_FOR_STOP,
    /** An unreachable task is reported as stopped. */
    UNREACHABLE_TAKEN_FOR_STOPPED,
    /** The platform also starts tasks of old epochs. */
    NO_FENCE,
    /** Reports of finished tasks are dropped. */
    FINISH_NOT_REPORTED,
    /** Finished tasks are reported as stopped. */
    FINISH_TAKEN_FOR_STOP
}
