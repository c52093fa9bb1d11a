package org.cicadalead.logic.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.cicadalead.logic.request.FairQueue.RejectedRequest;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.request.RequestTerms;

/**
 * Assigns the waiting requests of one service to free slots. Its lock covers the decisions only; the callbacks run
 * outside it. Safe for use by several threads.
 *
 * @param <T> type of the item that is stored with each request
 */
public final class ServiceDispatcher<T> {
    /** Time without any usable slot after which waiting requests are rejected. */
    public static final Duration NO_SLOTS_TIMEOUT = Duration.ofSeconds(2);

    private final BiConsumer<T, HostRoute> onChosen;
    private final Consumer<RejectedRequest<T>> onRejected;
    private final FairQueue<T> shortWork = new FairQueue<>();
    private final FairQueue<T> longWork = new FairQueue<>();
    private final AtomicInteger longWorkSlotsInUse = new AtomicInteger();
    private final RetryBudget retryBudget = new RetryBudget();
    private final WorkDurations workDurations = new WorkDurations();
    private int rotation;
    private Optional<Long> withoutSlotsSince = Optional.empty();

    /** Creates a dispatcher that passes each assigned and each rejected request to a callback. */
    public ServiceDispatcher(BiConsumer<T, HostRoute> onChosen, Consumer<RejectedRequest<T>> onRejected) {
        this.onChosen = onChosen;
        this.onRejected = onRejected;
    }

    /** Returns the retry budget of the service. */
    public RetryBudget retryBudget() {
        return retryBudget;
    }

    /** Returns the statistics of how long requests hold a slot. */
    public WorkDurations workDurations() {
        return workDurations;
    }

    /** Returns the number of waiting requests. */
    public synchronized int countWaiting() {
        return shortWork.size() + longWork.size();
    }

    /** Adds a request, which is assigned to a host, rejected, or queued. */
    public void submit(RequestTerms terms, T item, boolean isLong, int share, ServiceRoute route, long now) {
        List<RejectedRequest<T>> rejected;
        synchronized (this) {
            FairQueue<T> queue = isLong ? longWork : shortWork;
            int limit = route.service().queueLimit() - (isLong ? shortWork.size() : longWork.size());
            rejected = queue.offer(terms, item, share, limit, currentLoad(route, now), now);
        }
        rejected.forEach(onRejected);
        dispatch(route, now);
    }

    /** Assigns waiting requests to free slots until either runs out. */
    public void dispatch(ServiceRoute route, long now) {
        List<Assignment<T>> chosen = new ArrayList<>();
        synchronized (this) {
            for (Optional<Assignment<T>> next = chooseNext(route, now);
                    next.isPresent();
                    next = chooseNext(route, now)) {
                chosen.add(next.get());
            }
        }
        chosen.forEach(next -> onChosen.accept(next.request().item(), next.host()));
    }

    /** Records that long work has released its slot. */
    public void onLongWorkEnded() {
        longWorkSlotsInUse.decrementAndGet();
    }

    /**
     * Rejects requests that would start after their deadline, and all waiting requests when the service has no host or
     * has had no usable slot for {@link #NO_SLOTS_TIMEOUT}.
     */
    public void rejectOverdue(ServiceRoute route, long now) {
        List<RejectedRequest<T>> rejected = new ArrayList<>();
        synchronized (this) {
            QueueLoad load = currentLoad(route, now);
            rejected.addAll(shortWork.removeUnreachable(load, now));
            rejected.addAll(longWork.removeUnreachable(load, now));
            if (hasTimedOutWithoutSlots(route, now)) {
                int retryAfter = load.retryAfterSeconds(shortWork.size() + longWork.size());
                shortWork
                        .drain()
                        .forEach(request ->
                                rejected.add(new RejectedRequest<>(request, ErrorKind.NO_UPSTREAM, retryAfter)));
                longWork.drain()
                        .forEach(request ->
                                rejected.add(new RejectedRequest<>(request, ErrorKind.NO_UPSTREAM, retryAfter)));
            }
        }
        rejected.forEach(onRejected);
    }

    private boolean hasTimedOutWithoutSlots(ServiceRoute route, long now) {
        if (route.usableSlots(now) > 0) {
            withoutSlotsSince = Optional.empty();
            return false;
        }
        long since = withoutSlotsSince.orElse(now);
        withoutSlotsSince = Optional.of(since);
        return route.hosts().isEmpty() || now - since >= NO_SLOTS_TIMEOUT.toNanos();
    }

    private Optional<Assignment<T>> chooseNext(ServiceRoute route, long now) {
        Optional<FairQueue<T>> queue = selectQueue(route, now);
        if (queue.isEmpty()) {
            return Optional.empty();
        }
        Optional<HostRoute> host = route.tryAcquireHost(rotation++, now);
        if (host.isEmpty()) {
            return Optional.empty();
        }
        boolean isLong = queue.get() == longWork;
        if (isLong) {
            longWorkSlotsInUse.incrementAndGet();
        }
        WaitingRequest<T> request = queue.get().poll().orElseThrow();
        return Optional.of(new Assignment<>(request, host.get()));
    }

    /**
     * Selects the queue that is served next. Long work never holds every slot, and a few slots are reserved for it.
     * Otherwise the queue with the more urgent first request is served first, and short work before long work.
     */
    private Optional<FairQueue<T>> selectQueue(ServiceRoute route, long now) {
        int slots = route.usableSlots(now);
        int longWorkSlots = longWorkSlotsInUse.get();
        boolean canRunLongWork = longWork.size() > 0 && longWorkSlots < WorkDurations.maxLongWorkSlots(slots);
        if (!canRunLongWork) {
            return shortWork.size() > 0 ? Optional.of(shortWork) : Optional.empty();
        }
        boolean longWorkBelowReservation = longWorkSlots < WorkDurations.reservedLongWorkSlots(slots);
        if (shortWork.size() == 0 || longWorkBelowReservation) {
            return Optional.of(longWork);
        }
        return Optional.of(longWork.headUrgency() < shortWork.headUrgency() ? longWork : shortWork);
    }

    private QueueLoad currentLoad(ServiceRoute route, long now) {
        return new QueueLoad(route.usableSlots(now), workDurations.meanNanoseconds());
    }

    private record Assignment<T>(WaitingRequest<T> request, HostRoute host) {}
}
