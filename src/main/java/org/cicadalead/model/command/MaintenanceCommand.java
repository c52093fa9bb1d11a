package org.cicadalead.model.command;

import org.cicadalead.model.fleet.MaintenanceStep;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.WaveIdentifier;

/** Commands of maintenance waves. Implementations are immutable. */
public sealed interface MaintenanceCommand extends Command {
    /**
     * Allows one host to be taken out for maintenance; the fold checks the budgets of its services.
     *
     * @param wave the wave that it belongs to
     * @param host the host
     * @param hostVersion the version of the host that was read
     */
    record Grant(WaveIdentifier wave, HostName host, long hostVersion) implements MaintenanceCommand {}

    /**
     * A host under maintenance has reached a step.
     *
     * @param host the host
     * @param hostVersion the version of the host that was read
     * @param step the step reached
     */
    record Advance(HostName host, long hostVersion, MaintenanceStep step) implements MaintenanceCommand {}
}
