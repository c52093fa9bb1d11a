package org.cicadalead.model.job;

/** Reasons why a task was asked to stop. */
public enum StopReason {
    /** Its owner cancelled the job. */
    CANCELLED(false),
    /** Its host drains, moves to another pool or leaves the fleet. */
    HOST_LEAVING(true),
    /** Its host failed, or the lease of its worker expired. */
    LEASE_LAPSED(false),
    /** A more urgent job needs its capacity. */
    PREEMPTED(true);

    private final boolean withCheckpoint;

    StopReason(boolean withCheckpoint) {
        this.withCheckpoint = withCheckpoint;
    }

    /** Returns whether the task is asked to write a checkpoint before it stops. */
    public boolean isWithCheckpoint() {
        return withCheckpoint;
    }
}
