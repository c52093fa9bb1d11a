package org.cicadalead.model.fleet;

import java.util.Optional;

/** Change that an operator or a planner makes to a started maintenance wave. */
public enum WaveChange {
    /** Grants no further host until the wave is resumed. */
    PAUSE(WavePhase.PAUSED),
    /** Continues after a pause or a stop; the failures so far are tolerated. */
    RESUME(WavePhase.RUNNING),
    /** Aborts the wave; hosts in maintenance finish, and held hosts return to their pools. */
    ABORT(WavePhase.ABORTED),
    /** Stops the wave because hosts fail. */
    STOP(WavePhase.STOPPED),
    /** Drops hosts that have left the fleet; the phase does not change. */
    REFRESH(WavePhase.RUNNING);

    private final WavePhase target;

    WaveChange(WavePhase target) {
        this.target = target;
    }

    /** Returns the phase after the change; empty if the wave is over and cannot be changed. */
    public Optional<WavePhase> apply(WavePhase current) {
        if (current.isTerminal()) {
            return Optional.empty();
        }
        return Optional.of(this == REFRESH ? current : target);
    }
}
