package org.cicadalead.adapters.work;

import java.util.concurrent.TimeUnit;
import org.cicadalead.ports.TimerService;

/**
 * Measures elapsed time including the time for which the machine was suspended. The monotonic clock may stop during a
 * suspension, which shows as a jump of the wall clock. If the wall clock is set forward, this clock advances too far
 * once, so that time limits expire early rather than late. Safe for use by several threads.
 */
final class SuspensionAwareClock {
    /** Lead of the wall clock over the monotonic clock that indicates a suspension; clock adjustments are smaller. */
    private static final long SUSPENSION_MILLISECONDS = 400;

    private final TimerService timers;
    private long lastMonotonic;
    private long lastWall;
    private long elapsedTotal;

    SuspensionAwareClock(TimerService timers) {
        this.timers = timers;
        this.lastMonotonic = monotonicMilliseconds();
        this.lastWall = timers.wallClockMilliseconds();
    }

    /** Returns the milliseconds that have elapsed since this clock was created. */
    synchronized long elapsedMilliseconds() {
        long monotonicPassed = monotonicMilliseconds() - lastMonotonic;
        long wallPassed = timers.wallClockMilliseconds() - lastWall;
        lastMonotonic += monotonicPassed;
        lastWall += wallPassed;
        elapsedTotal += wallPassed > monotonicPassed + SUSPENSION_MILLISECONDS ? wallPassed : monotonicPassed;
        return elapsedTotal;
    }

    private long monotonicMilliseconds() {
        return TimeUnit.NANOSECONDS.toMillis(timers.nanoTime());
    }
}
