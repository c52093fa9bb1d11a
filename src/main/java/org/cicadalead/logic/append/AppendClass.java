package org.cicadalead.logic.append;

import org.cicadalead.model.command.CheckpointCommand;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.ConfigurationCommand;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.command.JobCommand;
import org.cicadalead.model.command.MembershipCommand;

/** Classes of appends, the most urgent first. A class leaves a part of the budget to the classes before it. */
public enum AppendClass {
    /** What keeps promises: failures of hosts, acknowledgements of moves, joins and leaves of processes. */
    SAFETY(0.0),
    /** What operators publish. */
    CONFIGURATION(0.1),
    /** Checkpoints, without which records that still matter would expire. */
    CHECKPOINT(0.2),
    /** Steps of long jobs. */
    JOB(0.3),
    /** Planned moves and maintenance, which can wait. */
    PLANNED(0.5);

    private final double reservedShare;

    AppendClass(double reservedShare) {
        this.reservedShare = reservedShare;
    }

    /** Returns the share of a full budget that the class must leave to more urgent ones, from 0 to 1. */
    public double reservedShare() {
        return reservedShare;
    }

    /** Returns the class of a command. */
    public static AppendClass of(Command command) {
        if (command instanceof MembershipCommand
                || command instanceof FleetCommand.Observe
                || command instanceof FleetCommand.Acknowledge) {
            return SAFETY;
        }
        if (command instanceof ConfigurationCommand) {
            return CONFIGURATION;
        }
        if (command instanceof CheckpointCommand) {
            return CHECKPOINT;
        }
        return command instanceof JobCommand ? JOB : PLANNED;
    }
}
