package org.cicadalead.logic.work;

/** Why a run is stopped. */
public enum StopCause {
    /** Its job was cancelled, or has ended. */
    JOB_ENDED,
    /** Its task is done by another run. */
    TASK_DONE,
    /** It is to last, and its host drains. */
    HOST_DRAINS,
    /** It has taken far longer than its task can be expected to take. */
    OVERDUE,
    /** A long-running task needs its room. */
    ROOM_FOR_LONG_RUNNING,
    /** Its job is late, and another pool needs the machine for work in time. */
    MACHINE_FOR_OTHER_POOL,
    /** Its machine is due for maintenance. */
    MAINTENANCE,
    /** The reply to its start is missing, or its host does not list it, so that it must not start late. */
    START_UNCERTAIN,
    /** Its host lists it, but this term has no such run. */
    UNKNOWN_RUN
}
