package org.cicadalead.logic.work.account;

/**
 * Decides whether the known configuration may be decided by. Load pattern: the store refuses a third of the processes,
 * or is silent to them, for up to 9 s while the operator withdraws keys; a process is frozen for some seconds, or cut
 * off with its zone, while its callers go on sending.
 *
 * <p>A configuration is confirmed as of the moment at which the newest successful read of it was sent. Beyond the bound
 * within which the operator's changes have to be in force it may be outdated; a process that was running all the time
 * goes on by it until the stretch for an unstable store is over as well. A process that was not running may not have
 * asked anyone, so it waits for a confirmation first. Time is in milliseconds that count suspensions. Not thread-safe.
 */
public final class ConfigurationFreshness {
    /** Age of a configuration that was never confirmed; halved so that sums don't overflow. */
    public static final long NEVER_CONFIRMED = Long.MAX_VALUE / 2;

    /** Gap between two observations that shows that the process wasn't running: four times their interval. */
    private static final long FREEZE_GAP_MILLISECONDS = 1_000;

    private final long applyMilliseconds;
    private final long stretchMilliseconds;
    private boolean confirmed;
    private long confirmedAt;
    private long observedAt;
    private long thawedAt = Long.MIN_VALUE;

    /**
     * Creates a decision for a process that has no configuration yet.
     *
     * @param applyMilliseconds the time within which a version has to be in force
     * @param stretchMilliseconds how much longer that time is at most while the store is disturbed
     * @param now the current time
     */
    public ConfigurationFreshness(long applyMilliseconds, long stretchMilliseconds, long now) {
        this.applyMilliseconds = applyMilliseconds;
        this.stretchMilliseconds = stretchMilliseconds;
        this.observedAt = now;
    }

    /** Notes that the process is running; to be called at least every 250 milliseconds. */
    public void observe(long now) {
        if (now - observedAt > FREEZE_GAP_MILLISECONDS) {
            thawedAt = now;
        }
        observedAt = now;
    }

    /** Notes that the configuration was the newest one at a moment; an earlier moment than the known one is ignored. */
    public void onConfirmed(long moment) {
        confirmedAt = confirmed ? Math.max(confirmedAt, moment) : moment;
        confirmed = true;
    }

    /** Returns the time since the configuration was confirmed to be the newest one. */
    public long age(long now) {
        return confirmed ? Math.max(0, now - confirmedAt) : NEVER_CONFIRMED;
    }

    /** Returns whether the known configuration may be decided by. */
    public boolean isCurrent(long now) {
        observe(now);
        long age = age(now);
        boolean confirmedSinceThaw = confirmed && confirmedAt >= thawedAt;
        return age <= applyMilliseconds || (confirmedSinceThaw && age <= applyMilliseconds + stretchMilliseconds);
    }
}
