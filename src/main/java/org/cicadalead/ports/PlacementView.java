package org.cicadalead.ports;

import org.cicadalead.model.fleet.HostState;

/**
 * Tells whether this process's view of a host is recent enough to place work there. Safe for use by several threads.
 */
@FunctionalInterface
public interface PlacementView {
    /**
     * Returns whether work may be sent to a host now. Must be called after an upstream was chosen and again right
     * before the first byte is sent; false when the view lease on the host's availability zone has expired, or when the
     * host's record has changed since it was chosen.
     */
    boolean mayPlace(HostState chosen);
}
