package org.cicadalead.logic.membership;

/** The result of an attempt to reach a member. */
public enum PeerObservation {
    /** The member replied and proved its identity. */
    REACHABLE,
    /** Its address accepts connections but sends nothing: the process may be paused. */
    SILENT,
    /** Its address does not respond: the process may be cut off, or its host has failed. */
    CUT_OFF,
    /**
     * Its host refuses connections to its port, or another process replies there. A process keeps its peer port bound
     * from before it joins until it ends, so this process has ended.
     */
    ENDED
}
