package org.cicadalead.ports;

import org.cicadalead.model.fleet.HostState;

/** Whether this process's view of a host is fresh enough to place work there. Safe for use by several threads. */
@FunctionalInterface
public interface PlacementView {
    /**
     * Tells whether work may be sent to a host now. To be asked after an upstream was chosen and again right before the
     * first byte is sent; false when the view lease on the host's availability zone has lapsed, or when the host's
     * record has changed since it was chosen.
     */
    boolean mayPlace(HostState chosen);
}
