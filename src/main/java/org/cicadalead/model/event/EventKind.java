package org.cicadalead.model.event;

/**
 * The catalogue of events. Numbers are stable and never reused: 1xxx processes, 2xxx requests, 3xxx shared state and
 * configuration, 4xxx membership and peers, 5xxx hosts, moves and maintenance, 6xxx jobs, 7xxx planners.
 */
public enum EventKind {
    /** An entry process started. */
    PROCESS_STARTED(1001, EventSeverity.INFORMATION, "An entry process started"),
    /** An entry process holds a configuration and takes requests. */
    PROCESS_READY(1002, EventSeverity.INFORMATION, "An entry process holds a configuration and takes requests"),
    /** An entry process started its graceful shutdown. */
    PROCESS_STOPPING(1003, EventSeverity.INFORMATION, "An entry process started its graceful shutdown"),
    /** An entry process finished everything in flight and stopped. */
    PROCESS_STOPPED(1004, EventSeverity.INFORMATION, "An entry process finished everything in flight and stopped"),
    /** A background task failed unexpectedly. */
    INTERNAL_FAILURE(1005, EventSeverity.ERROR, "A background task failed unexpectedly"),
    /** A request was answered by an upstream. */
    REQUEST_ANSWERED(2001, EventSeverity.DETAIL, "A request was answered by an upstream"),
    /** A request was refused as not run. */
    REQUEST_REFUSED(2002, EventSeverity.DETAIL, "A request was refused as not run"),
    /** A request was sent and its outcome is unknown. */
    REQUEST_OUTCOME_UNKNOWN(2003, EventSeverity.WARNING, "A request was sent and its outcome is unknown"),
    /** An answer broke off, and so was not passed on as whole. */
    REQUEST_ANSWER_CUT(2004, EventSeverity.WARNING, "An answer broke off, and so was not passed on as whole"),
    /** A request is tried again on another host. */
    REQUEST_RETRIED(2005, EventSeverity.DETAIL, "A request is tried again on another host"),
    /** A host failed too often and gets no requests for a while. */
    HOST_EJECTED(2010, EventSeverity.WARNING, "A host failed too often and gets no requests for a while"),
    /** An ejected host answered again. */
    HOST_RETURNED(2011, EventSeverity.INFORMATION, "An ejected host answered again"),
    /** A publication was accepted. */
    CONFIGURATION_ACCEPTED(3001, EventSeverity.INFORMATION, "A publication was accepted"),
    /** A command was rejected by the fold. */
    COMMAND_REJECTED(3002, EventSeverity.INFORMATION, "A command was rejected by the fold"),
    /** A record of the log could not be decoded and was skipped. */
    RECORD_UNREADABLE(3003, EventSeverity.WARNING, "A record of the log could not be decoded and was skipped"),
    /** The platform log cannot be reached. */
    PLATFORM_LOG_UNAVAILABLE(3004, EventSeverity.WARNING, "The platform log cannot be reached"),
    /** The platform log can be reached again. */
    PLATFORM_LOG_RETURNED(3005, EventSeverity.INFORMATION, "The platform log can be reached again"),
    /** The observed health of a host changed. */
    HOST_OBSERVED(5001, EventSeverity.INFORMATION, "The observed health of a host changed"),
    /** A host was withdrawn from its pool. */
    MOVE_STARTED(5101, EventSeverity.INFORMATION, "A host was withdrawn from its pool"),
    /** A host was assigned to its new pool. */
    MOVE_FINISHED(5102, EventSeverity.INFORMATION, "A host was assigned to its new pool");

    private final int number;
    private final EventSeverity severity;
    private final String summary;

    EventKind(int number, EventSeverity severity, String summary) {
        this.number = number;
        this.severity = severity;
        this.summary = summary;
    }

    /** Returns the stable number. */
    public int number() {
        return number;
    }

    /** Returns the severity. */
    public EventSeverity severity() {
        return severity;
    }

    /** Returns a sentence for people. */
    public String summary() {
        return summary;
    }
}
