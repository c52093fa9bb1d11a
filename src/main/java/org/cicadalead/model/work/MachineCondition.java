package org.cicadalead.model.work;

/** State of a machine. */
public enum MachineCondition {
    /** It runs. */
    UP,
    /** It is moving to another pool. */
    MOVING,
    /** It is down for maintenance. */
    UPKEEP,
    /** It is down for another reason. */
    DOWN;

    /** Returns whether a machine in this state has ended the process of its previous host for certain. */
    public boolean endsHost() {
        return this == MOVING || this == UPKEEP;
    }
}
