package org.cicadalead.model.fleet;

/**
 * What the platform says of a host's reboots. Immutable.
 *
 * @param operation the newest reboot that it was asked for; 0 for none
 * @param progress how far that reboot is
 */
public record HostCondition(long operation, Progress progress) {
    /** How far a reboot is. */
    public enum Progress {
        /** The host is stopping or starting. */
        REBOOTING,
        /** The host runs. */
        RUNNING,
        /** The host did not start again. */
        BROKEN
    }

    /** Returns the condition of a host that runs and was never rebooted. */
    public static HostCondition neverRebooted() {
        return new HostCondition(0, Progress.RUNNING);
    }

    /** Tells whether a reboot has finished and the host runs. */
    public boolean hasFinished(long reboot) {
        return operation >= reboot && progress == Progress.RUNNING;
    }
}
