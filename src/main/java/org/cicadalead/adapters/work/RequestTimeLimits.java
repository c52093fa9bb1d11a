package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cicadalead.ports.TimerService;

/**
 * Ends the waiting of callers' requests: each one's at its own time limit, and everyone's when the drain of this
 * process ends, so that no request waits longer than the process runs. Safe for use by several threads.
 */
public final class RequestTimeLimits {
    private final TimerService timers;
    private final Set<Wait> waits = ConcurrentHashMap.newKeySet();
    private volatile boolean expired;

    /** Creates limits of a process that is not stopping. */
    public RequestTimeLimits(TimerService timers) {
        this.timers = timers;
    }

    /**
     * Begins a wait.
     *
     * @param limit how long the request may wait
     * @param onExpired called once, when the limit or the drain ends first; at once if the drain has ended
     * @return ends the wait without a call
     */
    TimerService.Subscription begin(Duration limit, Runnable onExpired) {
        Wait wait = new Wait(onExpired);
        waits.add(wait);
        wait.start(limit);
        if (expired) {
            wait.expire();
        }
        return wait::close;
    }

    /** Ends all waits, and those that begin later as they begin. */
    public void expireAll() {
        expired = true;
        waits.forEach(Wait::expire);
    }

    /** The wait of one request, which ends once. */
    private final class Wait {
        private final Runnable onExpired;
        private final AtomicBoolean ended = new AtomicBoolean();
        private volatile Optional<TimerService.Subscription> timer = Optional.empty();

        Wait(Runnable onExpired) {
            this.onExpired = onExpired;
        }

        void start(Duration limit) {
            timer = Optional.of(timers.after(limit, this::expire));
            if (ended.get()) {
                close();
            }
        }

        void expire() {
            if (!ended.getAndSet(true)) {
                close();
                onExpired.run();
            }
        }

        void close() {
            ended.set(true);
            waits.remove(this);
            timer.ifPresent(TimerService.Subscription::close);
        }
    }
}
