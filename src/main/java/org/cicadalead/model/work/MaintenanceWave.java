package org.cicadalead.model.work;

import java.util.List;

/**
 * Machines that are due for maintenance. Immutable.
 *
 * @param number number of the wave
 * @param machines the machines
 * @param termSeconds time in which all should have had it
 * @param limit most machines that may be down for it at once
 */
public record MaintenanceWave(long number, List<String> machines, double termSeconds, int limit) {
    /** Copies the list. */
    public MaintenanceWave {
        machines = List.copyOf(machines);
    }
}
