package org.cicadalead.support;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.cicadalead.ports.TimerService;

/** A timer service whose time advances only when a test advances it. For use by one thread. */
public final class ManualTimerService implements TimerService {
    private final List<Entry> entries = new ArrayList<>();
    private long now;
    private long nextNumber;

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
        return schedule(delay, Optional.empty(), callback);
    }

    @Override
    public Subscription every(Duration period, Runnable callback) {
        return schedule(period, Optional.of(period), callback);
    }

    /** Advances the time and runs the callbacks that become due, in order. */
    public void advance(Duration duration) {
        long end = now + duration.toNanos();
        for (Optional<Entry> due = nextDue(end); due.isPresent(); due = nextDue(end)) {
            Entry entry = due.get();
            entries.remove(entry);
            now = entry.time;
            entry.period.ifPresent(period -> entries.add(entry.rescheduledAt(now + period.toNanos())));
            entry.callback.run();
        }
        now = end;
    }

    private Optional<Entry> nextDue(long end) {
        return entries.stream()
                .filter(entry -> entry.time <= end)
                .min(Comparator.comparingLong(Entry::time).thenComparingLong(Entry::number));
    }

    private Subscription schedule(Duration delay, Optional<Duration> period, Runnable callback) {
        long number = nextNumber++;
        entries.add(new Entry(number, now + delay.toNanos(), period, callback));
        return () -> entries.removeIf(entry -> entry.number == number);
    }

    private record Entry(long number, long time, Optional<Duration> period, Runnable callback) {
        Entry rescheduledAt(long newTime) {
            return new Entry(number, newTime, period, callback);
        }
    }
}
