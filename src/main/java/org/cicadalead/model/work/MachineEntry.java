package org.cicadalead.model.work;

/**
 * A machine that carries hosts of a pool, one life after the other. Immutable.
 *
 * @param machine name of the machine
 * @param pool the service that it belongs to
 * @param condition what it is doing
 * @param host identifier of the host on it, empty while there is none
 */
public record MachineEntry(String machine, String pool, MachineCondition condition, String host) {}
