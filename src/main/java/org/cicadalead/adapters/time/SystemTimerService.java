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
 * The timer service on the monotonic clock, with one thread for callbacks. After it was closed, subscriptions are
 * accepted and never called back, as parts may still be ending. Safe for use by several threads.
 */
public final class SystemTimerService implements TimerService, AutoCloseable {
    private final Consumer<Throwable> failureListener;
    private final ScheduledExecutorService executor = new ScheduledThreadPoolExecutor(
            1, SystemTimerService::createDaemonThread, new ThreadPoolExecutor.DiscardPolicy());

    /** Creates a service that reports callbacks which throw. */
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
        long nanoseconds = period.toNanos();
        return toSubscription(executor.scheduleWithFixedDelay(
                reportingFailures(callback), nanoseconds, nanoseconds, TimeUnit.NANOSECONDS));
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

    /** A callback that throws must not end its own or another subscription. */
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
