package org.cicadalead.model.work;

/** What a machine is doing. */
public enum MachineCondition {
    /** It runs. */
    UP,
    /** It changes its pool. */
    MOVING,
    /** It is down for maintenance. */
    UPKEEP,
    /** It is down for another reason. */
    DOWN
}
