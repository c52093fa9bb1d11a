package org.cicadalead.adapters.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.cicadalead.ports.TimerService;

/**
 * The timers of one simulated process. While the process is paused, its clock continues but its callbacks do not run.
 */
final class SimulatedTimers implements TimerService {
    private final LongSupplier clock;
    private final List<Entry> entries = new ArrayList<>();

    SimulatedTimers(LongSupplier clock) {
        this.clock = clock;
    }

    @Override
    public long nanoTime() {
        return clock.getAsLong();
    }

    @Override
    public long wallClockMilliseconds() {
        return Duration.ofNanos(nanoTime()).toMillis();
    }

    @Override
    public Subscription after(Duration delay, Runnable callback) {
        return add(new Entry(nanoTime() + delay.toNanos(), Optional.empty(), callback));
    }

    @Override
    public Subscription every(Duration period, Runnable callback) {
        return add(new Entry(nanoTime() + period.toNanos(), Optional.of(period), callback));
    }

    /** Runs each callback that is due, once, however late it is. */
    void runDue() {
        long now = nanoTime();
        for (Entry entry : List.copyOf(entries)) {
            if (entry.dueAt() - now > 0 || !entries.remove(entry)) {
                continue;
            }
            entry.period()
                    .ifPresent(
                            period -> entries.add(new Entry(now + period.toNanos(), entry.period(), entry.callback())));
            entry.callback().run();
        }
    }

    private Subscription add(Entry entry) {
        entries.add(entry);
        return () -> entries.removeIf(other -> other.callback() == entry.callback());
    }

    private record Entry(long dueAt, Optional<Duration> period, Runnable callback) {}
}
