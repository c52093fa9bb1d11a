package org.cicadalead.model.work;

/** What became of an order to start a run. */
public enum StartOutcome {
    /** The run is there. */
    STARTED,
    /** The host knows a later term of the scheduling process. */
    FENCED,
    /** The host has seen this run or a later one end. */
    SUPERSEDED,
    /** The lease in the order has expired. */
    EXPIRED,
    /** The host has no room. */
    NO_ROOM,
    /** The ticket of the outside policy was missing or not valid. */
    NO_TICKET,
    /** The host is unhealthy and has done nothing, or could not be connected to. */
    UNHEALTHY,
    /** Another process answers at the host's address. */
    OTHER_HOST,
    /** The host takes the order for malformed. */
    INVALID,
    /** No answer came; the order may be carried out late. */
    UNKNOWN
}
