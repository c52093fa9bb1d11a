package org.cicadalead.adapters.time;

import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cicadalead.ports.TimerService;

/**
 * Schedules callbacks by the monotonic clock and runs them on one thread. A closed service still accepts subscriptions
 * but never calls them back, because other components may still be shutting down. Thread-safe.
 */
public final class SystemTimerService implements TimerService, AutoCloseable {
    private final Consumer<Throwable> failureListener;
    private final ScheduledExecutorService executor = new ScheduledThreadPoolExecutor(
            1, SystemTimerService::createDaemonThread, new ThreadPoolExecutor.DiscardPolicy());

    /** Creates a service that passes exceptions thrown by callbacks to a listener. */
    public SystemTimerService(Consumer<Throwable> failureListener) {
        this.failureListener = failureListener;
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public long wallClockMilliseconds() {
        return System.currentTimeMillis();
    }

    @Override
    public Subscription after(Duration delay, Runnable callback) {
        return toSubscription(executor.schedule(reportingFailures(callback), delay.toNanos(), TimeUnit.NANOSECONDS));
    }

    @Override
    public Subscription every(Duration period, Runnable callback) {
        long periodNanoseconds = period.toNanos();
        return toSubscription(executor.scheduleWithFixedDelay(
                reportingFailures(callback), periodNanoseconds, periodNanoseconds, TimeUnit.NANOSECONDS));
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private static Thread createDaemonThread(Runnable runnable) {
        Thread thread = new Thread(runnable, "timer");
        thread.setDaemon(true);
        return thread;
    }

    private static Subscription toSubscription(Future<?> future) {
        return () -> future.cancel(false);
    }

    /** Wraps a callback so that an exception that it throws ends neither its own nor another subscription. */
    private Runnable reportingFailures(Runnable callback) {
        return () -> {
            try {
                callback.run();
            } catch (RuntimeException failure) {
                failureListener.accept(failure);
            }
        };
    }
}
