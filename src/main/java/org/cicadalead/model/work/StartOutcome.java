package org.cicadalead.model.work;

/** Outcome of an order to start a run. */
public enum StartOutcome {
    /** The run has started, or had started before. */
    STARTED,
    /** The host knows a later term of the leader. */
    FENCED,
    /** The host has seen this run or a later one end. */
    SUPERSEDED,
    /** The lease in the order has expired. */
    EXPIRED,
    /** The host does not have enough free capacity. */
    NO_ROOM,
    /** The ticket of the external policy was missing or invalid. */
    NO_TICKET,
    /** The host is unhealthy and did not start the run, or the connection failed. */
    UNHEALTHY,
    /** Another process replies at the host's address. */
    OTHER_HOST,
    /** The host rejected the order as malformed. */
    INVALID,
    /** The outcome is unknown, as no reply came; the order may be carried out late. */
    UNKNOWN
}
