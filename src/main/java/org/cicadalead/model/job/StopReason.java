package org.cicadalead.model.job;

/** Why a task was asked to stop. */
public enum StopReason {
    /** Its owner cancelled the job. */
    CANCELLED(false),
    /** Its host drains, moves to another pool, or leaves. */
    HOST_LEAVING(true),
    /** Its host failed, or the lease on its worker lapsed. */
    LEASE_LAPSED(false),
    /** More urgent work needs its room. */
    PREEMPTED(true);

    private final boolean withCheckpoint;

    StopReason(boolean withCheckpoint) {
        this.withCheckpoint = withCheckpoint;
    }

    /** Tells whether the task is to write a checkpoint before it stops. */
    public boolean isWithCheckpoint() {
        return withCheckpoint;
    }
}
