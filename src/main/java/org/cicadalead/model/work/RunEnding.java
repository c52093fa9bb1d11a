package org.cicadalead.model.work;

/** How a run ended. */
public enum RunEnding {
    /** It finished its task. */
    DONE,
    /** It failed, by its own fault or its host's. */
    FAILED,
    /** It was told to stop. */
    STOPPED,
    /** Its lease expired. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** It waited too long for the other members of its gang. */
    ALONE
}
