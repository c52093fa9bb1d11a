package org.cicadalead.model.fleet;

/** Action of a maintenance wave on a drained host. */
public enum WaveAction {
    /** Reboots it, verifies it and returns it to its pool. */
    REBOOT(MaintenanceStep.REBOOTING),
    /** Keeps it drained until an operator aborts the wave, which returns it to its pool. */
    HOLD(MaintenanceStep.HELD);

    private final MaintenanceStep stepAfterDrain;

    WaveAction(MaintenanceStep stepAfterDrain) {
        this.stepAfterDrain = stepAfterDrain;
    }

    /** Returns the step that follows the drain. */
    public MaintenanceStep stepAfterDrain() {
        return stepAfterDrain;
    }
}
