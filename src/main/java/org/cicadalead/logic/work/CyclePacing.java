package org.cicadalead.logic.work;

/**
 * Decides how soon a term runs its next scheduling cycle, and which of the costly parts it includes. The pause before a
 * cycle grows with the time that the last one took, so that decisions take a bounded share of a processor with many
 * hosts and jobs, up to the limit of the pause, and leave the rest to the orders and replies. Not thread-safe.
 */
public final class CyclePacing {
    /** Events that arrive within this time are handled by one cycle, when cycles are short. */
    private static final long MIN_DELAY_MILLISECONDS = 4;

    /** Limit of the pause, well below the delay that a caller notices. */
    private static final long MAX_DELAY_MILLISECONDS = 40;

    /** Pause relative to the duration of the last cycle; below the limit, cycles take a quarter of the time. */
    private static final long DELAY_FACTOR = 3;

    /** Minimum time between two decisions on machines, each of which takes seconds to move. */
    private static final long MACHINE_INTERVAL_MILLISECONDS = 50;

    /** Minimum time between two announcements that no start waits for; a heartbeat stores one every 300. */
    private static final long ANNOUNCEMENT_INTERVAL_MILLISECONDS = 150;

    /** Minimum time between two announcements for hosts that reply again; many reply one after another. */
    private static final long HOST_ANNOUNCEMENT_INTERVAL_MILLISECONDS = 80;

    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

    private long delayMilliseconds = MIN_DELAY_MILLISECONDS;
    private long lastMachineDecisionAt = Long.MIN_VALUE / 2;
    private long lastAnnouncementAt = Long.MIN_VALUE / 2;

    /** Returns the time in milliseconds from an event to the cycle that handles it. */
    public long delayMilliseconds() {
        return delayMilliseconds;
    }

    /** Records how long a cycle took in nanoseconds. */
    public void onCycleEnded(long nanoseconds) {
        long delay = DELAY_FACTOR * nanoseconds / NANOSECONDS_PER_MILLISECOND;
        delayMilliseconds = Math.max(MIN_DELAY_MILLISECONDS, Math.min(MAX_DELAY_MILLISECONDS, delay));
    }

    /** Returns whether the cycle at the given monotonic time includes decisions on machines, and counts it if so. */
    public boolean startMachineDecisions(long now) {
        if (now - lastMachineDecisionAt < MACHINE_INTERVAL_MILLISECONDS) {
            return false;
        }
        lastMachineDecisionAt = now;
        return true;
    }

    /**
     * Returns whether the cycle at the given monotonic time creates an announcement, and counts it if so.
     *
     * @param startsWait whether starts wait for an announcement, which is then due at once
     * @param hostsWait whether the use of hosts waits for an announcement
     */
    public boolean startAnnouncement(long now, boolean startsWait, boolean hostsWait) {
        long interval = hostsWait ? HOST_ANNOUNCEMENT_INTERVAL_MILLISECONDS : ANNOUNCEMENT_INTERVAL_MILLISECONDS;
        if (!startsWait && now - lastAnnouncementAt < interval) {
            return false;
        }
        lastAnnouncementAt = now;
        return true;
    }
}
