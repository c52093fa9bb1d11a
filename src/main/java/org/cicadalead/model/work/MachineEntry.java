package org.cicadalead.model.work;

/**
 * A machine as the platform lists it. The host on it changes with each restart. Immutable.
 *
 * @param machine name of the machine
 * @param pool the service that it belongs to
 * @param condition its state
 * @param host identifier of the host on it, empty when there is none
 */
public record MachineEntry(String machine, String pool, MachineCondition condition, String host) {}
