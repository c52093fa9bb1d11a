package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.cicadalead.logic.work.HostsInUse;
import org.cicadalead.logic.work.SchedulingTerms;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.work.LeaderRecord;

/**
 * Schedules while this process holds a term. All decisions of a term are taken on one thread. Safe for use by several
 * threads.
 */
public final class SchedulingService implements LeaderElection.Listener, AutoCloseable {
    /** Longest wait for the scheduling thread; beyond a round at the worst load. */
    private static final Duration ASK_TIMEOUT = Duration.ofMillis(800);

    private final ScheduledExecutorService executor =
            new ScheduledThreadPoolExecutor(1, SchedulingService::createThread, new ThreadPoolExecutor.DiscardPolicy());
    private final SchedulingPorts ports;
    private final SchedulingTerms terms;
    private final AtomicReference<Optional<SchedulingTerm>> currentTerm = new AtomicReference<>(Optional.empty());
    private volatile Announcement announcement = new Announcement(0, HostsInUse.NONE);

    /** Creates a service; nothing happens before a term. */
    public SchedulingService(SchedulingPorts ports, SchedulingTerms terms) {
        this.ports = ports;
        this.terms = terms;
    }

    @Override
    public void onElected(long epoch, Optional<LeaderRecord> before) {
        executor.execute(() -> {
            endTerm();
            SchedulingTerm term = new SchedulingTerm(
                    ports, executor, terms, epoch, before, used -> announcement = new Announcement(epoch, used));
            currentTerm.set(Optional.of(term));
            term.start();
        });
    }

    @Override
    public void onTermEnded() {
        executor.execute(this::endTerm);
    }

    @Override
    public Optional<HostsInUse> hostsInUse(long epoch) {
        Announcement newest = announcement;
        return newest.epoch() == epoch ? Optional.of(newest.hostsInUse()) : Optional.empty();
    }

    @Override
    public void onAnnouncementStored(HostsInUse stored) {
        executor.execute(() -> currentTerm.get().ifPresent(term -> term.onAnnouncementStored(stored.generation())));
    }

    @Override
    public Optional<HostsInUse> resign() {
        try {
            return executor.submit(() -> {
                        Optional<HostsInUse> used = currentTerm
                                .getAndSet(Optional.empty())
                                .filter(SchedulingTerm::isScheduling)
                                .map(SchedulingTerm::resign);
                        return used;
                    })
                    .get(ASK_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        } catch (ExecutionException | TimeoutException failure) {
            ports.log().emit(EventKind.INTERNAL_FAILURE, EventDetail.of("resignation", failure.toString()));
            return Optional.empty();
        }
    }

    /** Asks the scheduler; empty while this process has no term or has not read all jobs. */
    public <T> Optional<T> ask(Function<JobsView, T> question) {
        Optional<SchedulingTerm> term = currentTerm.get();
        if (term.isEmpty()) {
            return Optional.empty();
        }
        try {
            return executor.submit(() -> term.get().ask(question)).get(ASK_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        } catch (ExecutionException | TimeoutException failure) {
            ports.log().emit(EventKind.INTERNAL_FAILURE, EventDetail.of("question", failure.toString()));
            return Optional.empty();
        }
    }

    private void endTerm() {
        currentTerm.getAndSet(Optional.empty()).ifPresent(SchedulingTerm::close);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    /** What a term says of the hosts in use. */
    private record Announcement(long epoch, HostsInUse hostsInUse) {}

    private static Thread createThread(Runnable runnable) {
        Thread thread = new Thread(runnable, "scheduler");
        thread.setDaemon(true);
        return thread;
    }
}
