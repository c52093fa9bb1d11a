package org.cicadalead.ports;

import org.cicadalead.model.identity.HostName;

/** Tracks the requests and tasks that this process has placed on hosts. Safe for use by several threads. */
public interface PlacementControl {
    /** Returns the number of requests and tasks that this process has placed on the host and that have not ended. */
    int countInFlight(HostName host);

    /** Closes idle connections to a host, so that nothing is sent on them any more. */
    void closeConnections(HostName host);
}
