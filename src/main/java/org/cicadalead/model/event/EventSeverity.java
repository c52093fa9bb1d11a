package org.cicadalead.model.event;

/** How important an event is to an operator. */
public enum EventSeverity {
    /** Useful for tracing a single request; kept on the timeline but not logged. */
    DETAIL,
    /** A step of normal operation. */
    INFORMATION,
    /** A problem that the system handles itself, and that an operator may want to know about. */
    WARNING,
    /** A problem that requires action by an operator. */
    ERROR
}
