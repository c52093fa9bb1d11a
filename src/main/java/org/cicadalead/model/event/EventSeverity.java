package org.cicadalead.model.event;

/** How much an operator should care about an event. */
public enum EventSeverity {
    /** Of use when following one request; kept on the time line, not logged. */
    DETAIL,
    /** A normal step. */
    INFORMATION,
    /** Something that the system handles, and that an operator may want to know. */
    WARNING,
    /** Something that an operator must act on. */
    ERROR
}
