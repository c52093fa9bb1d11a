package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.cicadalead.logic.work.EarlierTerm;
import org.cicadalead.logic.work.HostsInUse;
import org.cicadalead.logic.work.SchedulingTerms;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;

/**
 * Schedules jobs while this process is the leader. All decisions of a term are made on one thread. Safe for use by
 * several threads.
 */
public final class SchedulingService implements LeaderElection.Listener, AutoCloseable {
    /** Timeout of a call to the scheduling thread; exceeds the duration of a scheduling cycle under peak load. */
    private static final Duration ASK_TIMEOUT = Duration.ofMillis(800);

    private final ScheduledExecutorService executor =
            new ScheduledThreadPoolExecutor(1, SchedulingService::createThread, new ThreadPoolExecutor.DiscardPolicy());
    private final SchedulingPorts ports;
    private final SchedulingTerms terms;
    private final AtomicReference<Optional<SchedulingTerm>> currentTerm = new AtomicReference<>(Optional.empty());
    private volatile Announcement announcement = new Announcement(0, HostsInUse.NONE);

    /** Creates a service that is idle until a term starts. */
    public SchedulingService(SchedulingPorts ports, SchedulingTerms terms) {
        this.ports = ports;
        this.terms = terms;
    }

    @Override
    public void onElected(long epoch, Optional<EarlierTerm> earlierTerm) {
        executor.execute(() -> {
            endTerm();
            SchedulingTerm term = new SchedulingTerm(
                    ports,
                    executor,
                    terms,
                    epoch,
                    earlierTerm,
                    hostsInUse -> announcement = new Announcement(epoch, hostsInUse));
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
        Announcement newestAnnouncement = announcement;
        return newestAnnouncement.epoch() == epoch ? Optional.of(newestAnnouncement.hostsInUse()) : Optional.empty();
    }

    @Override
    public void onAnnouncementStored(HostsInUse announced) {
        executor.execute(() -> currentTerm.get().ifPresent(term -> term.onAnnouncementStored(announced.generation())));
    }

    @Override
    public Optional<HostsInUse> resign() {
        try {
            return executor.submit(() -> {
                        Optional<SchedulingTerm> term = currentTerm.getAndSet(Optional.empty());
                        Optional<HostsInUse> hostsInUse =
                                term.filter(SchedulingTerm::isScheduling).map(SchedulingTerm::resign);
                        // Also a term that has not loaded its data yet, which would begin to schedule later.
                        term.ifPresent(SchedulingTerm::close);
                        return hostsInUse;
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

    /** Queries the scheduler; empty if this process is not the leader or has not read all jobs, or on a timeout. */
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

    /** As {@link #ask}, but does not block. */
    public <T> CompletableFuture<Optional<T>> askLater(Function<JobsView, T> question) {
        Optional<SchedulingTerm> term = currentTerm.get();
        if (term.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return CompletableFuture.supplyAsync(() -> term.get().ask(question), executor)
                .completeOnTimeout(Optional.empty(), ASK_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .exceptionally(failure -> {
                    ports.log().emit(EventKind.INTERNAL_FAILURE, EventDetail.of("question", failure.toString()));
                    return Optional.empty();
                });
    }

    private void endTerm() {
        currentTerm.getAndSet(Optional.empty()).ifPresent(SchedulingTerm::close);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    /** The hosts in use, as a term announces them. */
    private record Announcement(long epoch, HostsInUse hostsInUse) {}

    private static Thread createThread(Runnable runnable) {
        Thread thread = new Thread(runnable, "scheduler");
        thread.setDaemon(true);
        return thread;
    }
}
