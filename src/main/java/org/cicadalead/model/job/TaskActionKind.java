package org.cicadalead.model.job;

/** Actions on a task that can be requested from the platform. */
public enum TaskActionKind {
    /** Starts the task on the host of the placement in the shared state. */
    START,
    /** Stops the task at once. */
    STOP,
    /** Makes the task write a checkpoint, then stops it. */
    STOP_WITH_CHECKPOINT,
    /** Throttles the task. */
    THROTTLE,
    /** Ends the throttling of the task. */
    UNTHROTTLE,
    /** Removes the task from the platform's list, as its end is in the log. */
    FORGET
}
