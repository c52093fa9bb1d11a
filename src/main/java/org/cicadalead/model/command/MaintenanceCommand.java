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
     * Starts a wave over the hosts that a selection matches at this record.
     *
     * @param wave identifier of the wave; rejected while a wave with this identifier has not ended
     * @param selection selects the hosts of the wave
     * @param action what is done with a drained host
     * @param reason why the wave is started
     * @param startedMilliseconds wall clock of the process that starts it, in milliseconds since 1970
     * @param periodMilliseconds time over which grants are spread; 0 to grant as fast as budgets allow
     * @param maximumFailures maximum number of failed hosts before the wave stops
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
     * @param waveVersion version of the phase that the writer had read
     * @param change the change
     */
    record Change(WaveIdentifier wave, long waveVersion, WaveChange change) implements MaintenanceCommand {}

    /**
     * Allows one host to be taken out of service for maintenance. The fold checks the budgets of the services.
     *
     * @param wave the wave that it belongs to
     * @param host the host
     * @param hostVersion version of the host that the writer had read
     */
    record Grant(WaveIdentifier wave, HostName host, long hostVersion) implements MaintenanceCommand {}

    /**
     * Confirms that a process has stopped placing work on granted hosts and has none in flight there.
     *
     * @param process the process
     * @param drains drains of the hosts, identified by their grants
     */
    record ConfirmDrain(ProcessIdentifier process, List<Drain> drains) implements MaintenanceCommand {
        /** Copies the list. */
        public ConfirmDrain {
            drains = List.copyOf(drains);
        }
    }

    /**
     * Drain of one host.
     *
     * @param wave the wave
     * @param host the host
     * @param grantVersion offset of the grant
     */
    record Drain(WaveIdentifier wave, HostName host, long grantVersion) {}

    /**
     * Records that a host under maintenance has reached a step.
     *
     * @param host the host
     * @param hostVersion version of the host that the writer had read
     * @param step the step reached
     */
    record Advance(HostName host, long hostVersion, MaintenanceStep step) implements MaintenanceCommand {}
}
