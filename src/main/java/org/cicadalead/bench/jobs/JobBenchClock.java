package org.cicadalead.bench.jobs;

import java.time.Duration;
import org.cicadalead.ports.TimerService;

/** A virtual clock that the bench advances. It supports no subscriptions. For use by one thread. */
final class JobBenchClock implements TimerService {
    private long now;

    void advance(Duration duration) {
        now += duration.toNanos();
    }

    @Override
    public long nanoTime() {
        return now;
    }

    @Override
    public long wallClockMilliseconds() {
        return Duration.ofNanos(now).toMillis();
    }

    @Override
    public Subscription after(Duration delay, Runnable callback) {
        throw new UnsupportedOperationException("The bench calls each part itself");
    }

    @Override
    public Subscription every(Duration period, Runnable callback) {
        throw new UnsupportedOperationException("The bench calls each part itself");
    }
}
