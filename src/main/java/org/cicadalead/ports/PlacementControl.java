package org.cicadalead.ports;

import org.cicadalead.model.identity.HostName;

/** What the request path and the jobs of this process have placed on a host. Safe for use by several threads. */
public interface PlacementControl {
    /** Returns the number of requests and tasks that this process has chosen the host for and that are not over. */
    int inFlight(HostName host);

    /** Closes idle connections to a host, so that nothing is sent on them any more. */
    void closeConnections(HostName host);
}
