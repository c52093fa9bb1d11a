package org.cicadalead.model.work;

/** Outcome of an order for a machine. */
public enum MachineOutcome {
    /** The action has begun, or was carried out before. */
    BEGUN,
    /** The order was rejected because the machine has got orders of a later term. */
    FENCED,
    /** The machine is not up, or is leaving. */
    BUSY,
    /** There is no such machine or no such order. */
    IMPOSSIBLE,
    /** Nothing was done; the order can be retried. */
    NOT_DONE,
    /** The outcome is unknown, as no reply came; the order may be carried out late. */
    UNKNOWN
}
