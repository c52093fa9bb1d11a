package org.cicadalead.model.work;

/** What became of an order for a machine. */
public enum MachineOutcome {
    /** It has begun, or was done before. */
    BEGUN,
    /** Another process gave orders for the machine in a later term. */
    FENCED,
    /** The machine is not up, or is leaving. */
    BUSY,
    /** There is no such machine or no such order. */
    IMPOSSIBLE,
    /** Nothing was done; it can be asked again. */
    NOT_DONE,
    /** No answer came; the order may be carried out late. */
    UNKNOWN
}
