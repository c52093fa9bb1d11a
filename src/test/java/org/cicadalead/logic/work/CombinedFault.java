package org.cicadalead.logic.work;

/** A kind of faults that come together, around the end of one to five leaders in succession. */
enum CombinedFault {
    /** Hosts crash and never return, within seconds of the leader. */
    HOSTS_LOST_WITH_LEADER,
    /** Hosts are cut off for a long time, within seconds of the end of the leader. */
    HOSTS_CUT_OFF_WITH_LEADER,
    /** Hosts restart under their identifier while they are cut off, and are reachable again later. */
    HOSTS_RESTARTED_BEHIND_CUT,
    /**
     * All processes of the system are killed at once and hosts are lost; the next leader has not followed the store.
     */
    ALL_PROCESSES_KILLED,
    /** A host without runs crashes, and its machine soon has a host under another identifier. */
    IDLE_HOST_REPLACED
}
