package org.cicadalead.model.work;

import java.util.List;

/**
 * A maintenance wave: machines that are due for maintenance within a time limit. Immutable.
 *
 * @param number number of the wave
 * @param machines the machines
 * @param termSeconds time in seconds within which all machines should have had maintenance
 * @param limit maximum number of machines of the wave that may be down at once
 */
public record MaintenanceWave(long number, List<String> machines, double termSeconds, int limit) {
    /** Copies the list. */
    public MaintenanceWave {
        machines = List.copyOf(machines);
    }
}
