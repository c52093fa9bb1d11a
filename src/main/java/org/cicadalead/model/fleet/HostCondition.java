package org.cicadalead.model.fleet;

/**
 * Reboot condition of a host, as the platform reports it. Immutable.
 *
 * @param operation number of the newest requested reboot; 0 for none
 * @param progress progress of that reboot
 */
public record HostCondition(long operation, Progress progress) {
    /** Progress of a reboot. */
    public enum Progress {
        /** The host is stopping or starting. */
        REBOOTING,
        /** The host is running. */
        RUNNING,
        /** The host did not start again. */
        BROKEN
    }

    /** Returns the condition of a running host that was never rebooted. */
    public static HostCondition neverRebooted() {
        return new HostCondition(0, Progress.RUNNING);
    }

    /** Tells whether a reboot has finished and the host is running. */
    public boolean hasFinished(long reboot) {
        return operation >= reboot && progress == Progress.RUNNING;
    }
}
