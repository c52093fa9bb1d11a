package org.cicadalead.model.job;

/** The closed list of what the platform can be asked about a task. */
public enum TaskActionKind {
    /** Start it under the placement in the shared state. */
    START,
    /** Stop it at once. */
    STOP,
    /** Write a checkpoint, then stop. */
    STOP_WITH_CHECKPOINT,
    /** Slow it down. */
    THROTTLE,
    /** Let it run at full speed again. */
    UNTHROTTLE,
    /** Drop it from the list, as its end is in the log. */
    FORGET
}
