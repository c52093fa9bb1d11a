package org.cicadalead.model.fleet;

import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.pcollections.TreePMap;

/**
 * A move in progress. Immutable.
 *
 * @param version offset of the withdrawal, or of the decision to reboot the host for the move; a command that names an
 *     earlier version was decided without that
 * @param destination the pool that the host goes to
 * @param awaited members that must still acknowledge, with the version of their membership
 * @param rebooting whether the host is rebooted before it is assigned, as some members are not waited for
 */
public record HostMoveState(
        long version, PoolName destination, TreePMap<ProcessIdentifier, Long> awaited, boolean rebooting) {
    /** Returns this move without waiting for a process. */
    public HostMoveState withAcknowledgementBy(ProcessIdentifier process) {
        return new HostMoveState(version, destination, awaited.minus(process), rebooting);
    }

    /** Returns this move with a reboot of the host decided at an offset. */
    public HostMoveState withRebootAt(long offset) {
        return new HostMoveState(offset, destination, awaited, true);
    }
}
