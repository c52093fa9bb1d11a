package org.cicadalead.adapters.work;

import java.util.concurrent.TimeUnit;
import org.cicadalead.ports.TimerService;

/**
 * Measures time that also passes while the machine is suspended: the monotonic clock may stand still then, and the wall
 * clock shows it. A wall clock that is set forward makes this clock run too fast once, which is the safe side for a
 * time limit. Safe for use by several threads.
 */
final class SuspensionAwareClock {
    /** Wall time beyond monotonic time that shows a suspension; adjustments of the wall clock are smaller. */
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

    /** Returns milliseconds since this clock was created. */
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
