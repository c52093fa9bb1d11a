package org.cicadalead.logic.append;

import org.cicadalead.model.command.CheckpointCommand;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.ConfigurationCommand;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.command.JobCommand;
import org.cicadalead.model.command.MembershipCommand;

/**
 * Priority classes of appends, the most urgent first. A class leaves a share of the budget to the classes before it.
 */
public enum AppendClass {
    /** Host failures, acknowledgements of moves, and joins and leaves of processes, on which guarantees depend. */
    SAFETY(0.0),
    /** Configuration that operators publish. */
    CONFIGURATION(0.1),
    /** Checkpoints, without which records that are still needed would expire. */
    CHECKPOINT(0.2),
    /** Commands of long jobs. */
    JOB(0.3),
    /** Planned moves and maintenance, which can be delayed. */
    PLANNED(0.5);

    private final double reservedShare;

    AppendClass(double reservedShare) {
        this.reservedShare = reservedShare;
    }

    /** Returns the share of a full budget that this class must leave to more urgent classes, from 0 to 1. */
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
