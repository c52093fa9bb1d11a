package org.cicadalead.logic.work;

import org.cicadalead.model.work.MachineCondition;
import org.cicadalead.model.work.MachineEntry;

/** A machine as the platform knows it. Its host changes with each move, each maintenance and some restarts. */
final class SimulatedMachine {
    final String name;
    final String zone;
    final String rack;
    String pool;
    MachineCondition condition = MachineCondition.UP;
    SimulatedHost host;
    private long highestEpoch;

    SimulatedMachine(String name, String zone, String rack, SimulatedHost host) {
        this.name = name;
        this.zone = zone;
        this.rack = rack;
        this.pool = host.service;
        this.host = host;
    }

    /** Returns whether an order of a term is accepted, and fences earlier terms. */
    boolean accept(long epoch) {
        if (epoch < highestEpoch || condition != MachineCondition.UP) {
            return false;
        }
        highestEpoch = epoch;
        return true;
    }

    MachineEntry entry() {
        return new MachineEntry(name, pool, condition, host.identifier);
    }
}
