package org.cicadalead.model.fleet;

import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.pcollections.TreePMap;

/**
 * A move of a host between pools that is in progress. Immutable.
 *
 * @param version offset of the withdrawal, or of the decision to reboot the host for the move; a command with an
 *     earlier version was decided before that record and is outdated
 * @param destination the pool that the host moves to
 * @param awaited members that must still acknowledge, with the version of their membership
 * @param rebooting whether the host is rebooted before it is assigned, because some members are no longer awaited
 */
public record HostMoveState(
        long version, PoolName destination, TreePMap<ProcessIdentifier, Long> awaited, boolean rebooting) {
    /** Returns a copy that no longer awaits a process. */
    public HostMoveState withAcknowledgementBy(ProcessIdentifier process) {
        return new HostMoveState(version, destination, awaited.minus(process), rebooting);
    }

    /** Returns a copy with a reboot of the host, decided at an offset. */
    public HostMoveState withRebootAt(long offset) {
        return new HostMoveState(offset, destination, awaited, true);
    }
}
