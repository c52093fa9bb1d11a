package org.cicadalead.model.work;

/** How a run ended. */
public enum RunEnding {
    /** It finished its task. */
    DONE,
    /** It failed, because of the task or its host. */
    FAILED,
    /** It was stopped by an order. */
    STOPPED,
    /** Its lease expired. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** It timed out waiting for the other members of its gang. */
    ALONE
}
