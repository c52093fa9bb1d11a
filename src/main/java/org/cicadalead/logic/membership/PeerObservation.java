package org.cicadalead.logic.membership;

/** What an attempt to reach a member has shown. */
public enum PeerObservation {
    /** It answered as itself. */
    REACHABLE,
    /** Something accepts connections at its address and says nothing: it may be paused. */
    SILENT,
    /** Nothing answers at its address: it may be cut off, or its host is gone. */
    CUT_OFF,
    /**
     * Its host refuses connections to its port, or another process answers there. A process holds its peer port from
     * before it joins until it ends, so this one has ended.
     */
    ENDED
}
