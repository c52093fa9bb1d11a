package org.cicadalead.model.fleet;

import java.util.Optional;

/** What an operator or a planner can do to a maintenance wave that has started. */
public enum WaveChange {
    /** Grants no further host until it is resumed. */
    PAUSE(WavePhase.PAUSED),
    /** Goes on after a pause or a stop; the failures so far are tolerated. */
    RESUME(WavePhase.RUNNING),
    /** Gives it up; hosts under way finish, held hosts return. */
    ABORT(WavePhase.ABORTED),
    /** Stops it because hosts fail. */
    STOP(WavePhase.STOPPED),
    /** Drops hosts that have left the fleet; the phase stays. */
    REFRESH(WavePhase.RUNNING);

    private final WavePhase target;

    WaveChange(WavePhase target) {
        this.target = target;
    }

    /** Returns the phase after the change; empty when the wave cannot be changed so. */
    public Optional<WavePhase> apply(WavePhase current) {
        if (current.isTerminal()) {
            return Optional.empty();
        }
        return Optional.of(this == REFRESH ? current : target);
    }
}
