package org.cicadalead.model.command;

import java.util.List;
import org.cicadalead.model.fleet.MaintenanceStep;
import org.cicadalead.model.fleet.WaveAction;
import org.cicadalead.model.fleet.WaveChange;
import org.cicadalead.model.fleet.WaveSelection;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.WaveIdentifier;

/** Commands of maintenance waves. Implementations are immutable. */
public sealed interface MaintenanceCommand extends Command {
    /**
     * Starts a wave over the hosts that a selection takes now.
     *
     * @param wave its identifier; rejected while a wave of this identifier is not over
     * @param selection which hosts
     * @param action what is done with a drained host
     * @param reason why
     * @param startedMilliseconds the starter's wall clock, in milliseconds since 1970
     * @param periodMilliseconds time over which grants are spread; 0 for as fast as budgets allow
     * @param maximumFailures failed hosts that it tolerates before it stops
     */
    record Start(
            WaveIdentifier wave,
            WaveSelection selection,
            WaveAction action,
            String reason,
            long startedMilliseconds,
            long periodMilliseconds,
            int maximumFailures)
            implements MaintenanceCommand {}

    /**
     * Changes the phase of a wave.
     *
     * @param wave the wave
     * @param waveVersion the version of its phase that was read
     * @param change the change
     */
    record Change(WaveIdentifier wave, long waveVersion, WaveChange change) implements MaintenanceCommand {}

    /**
     * Allows one host to be taken out for maintenance; the fold checks the budgets of its services.
     *
     * @param wave the wave that it belongs to
     * @param host the host
     * @param hostVersion the version of the host that was read
     */
    record Grant(WaveIdentifier wave, HostName host, long hostVersion) implements MaintenanceCommand {}

    /**
     * A process has stopped placing work on granted hosts and has none in flight there.
     *
     * @param process the process
     * @param drains the hosts, named by their grants
     */
    record ConfirmDrain(ProcessIdentifier process, List<Drain> drains) implements MaintenanceCommand {
        /** Copies the list. */
        public ConfirmDrain {
            drains = List.copyOf(drains);
        }
    }

    /**
     * A drain of one host.
     *
     * @param wave the wave
     * @param host the host
     * @param grantVersion offset of its grant
     */
    record Drain(WaveIdentifier wave, HostName host, long grantVersion) {}

    /**
     * A host under maintenance has reached a step.
     *
     * @param host the host
     * @param hostVersion the version of the host that was read
     * @param step the step reached
     */
    record Advance(HostName host, long hostVersion, MaintenanceStep step) implements MaintenanceCommand {}
}
