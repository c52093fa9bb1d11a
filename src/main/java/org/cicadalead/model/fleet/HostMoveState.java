package org.cicadalead.model.fleet;

import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.pcollections.TreePMap;

/**
 * A move in progress. Immutable.
 *
 * @param version offset of the withdrawal
 * @param destination the pool that the host goes to
 * @param awaited members that must still acknowledge, with the version of their membership
 */
public record HostMoveState(long version, PoolName destination, TreePMap<ProcessIdentifier, Long> awaited) {
    /** Returns this move without waiting for a process. */
    public HostMoveState acknowledgedBy(ProcessIdentifier process) {
        return new HostMoveState(version, destination, awaited.minus(process));
    }
}
