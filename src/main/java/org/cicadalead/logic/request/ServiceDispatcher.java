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
 * Matches the waiting requests of one service with free slots. Its lock covers decisions only; what follows from them
 * is done outside it. Safe for use by several threads.
 *
 * @param <T> what is kept with each request
 */
public final class ServiceDispatcher<T> {
    /** Time without any slot after which what waits is given up. */
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

    /** Creates a dispatcher that says what is to be done with each request. */
    public ServiceDispatcher(BiConsumer<T, HostRoute> onChosen, Consumer<RejectedRequest<T>> onRefused) {
        this.onChosen = onChosen;
        this.onRejected = onRefused;
    }

    /** Returns the retry budget of the service. */
    public RetryBudget retryBudget() {
        return retryBudget;
    }

    /** Returns how long requests hold a slot. */
    public WorkDurations workDurations() {
        return workDurations;
    }

    /** Returns the number of waiting requests. */
    public synchronized int countWaiting() {
        return shortWork.size() + longWork.size();
    }

    /** Adds a request; it is chosen for, refused, or waits. */
    public void submit(RequestTerms terms, T item, boolean isLong, int share, ServiceRoute route, long now) {
        List<RejectedRequest<T>> refused;
        synchronized (this) {
            FairQueue<T> queue = isLong ? longWork : shortWork;
            int limit = route.service().queueLimit() - (isLong ? shortWork.size() : longWork.size());
            refused = queue.offer(terms, item, share, limit, currentLoad(route, now), now);
        }
        refused.forEach(onRejected);
        dispatch(route, now);
    }

    /** Gives free slots to waiting requests, as many as there are. */
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

    /** Notes that long work has given its slot back. */
    public void onLongWorkEnded() {
        longWorkSlotsInUse.decrementAndGet();
    }

    /** Refuses what would start after its deadline, and everything when there has been no slot for a while. */
    public void rejectOverdue(ServiceRoute route, long now) {
        List<RejectedRequest<T>> refused = new ArrayList<>();
        synchronized (this) {
            QueueLoad load = currentLoad(route, now);
            refused.addAll(shortWork.removeUnreachable(load, now));
            refused.addAll(longWork.removeUnreachable(load, now));
            if (hasTimedOutWithoutSlots(route, now)) {
                int retryAfter = load.retryAfterSeconds(shortWork.size() + longWork.size());
                shortWork
                        .drain()
                        .forEach(each -> refused.add(new RejectedRequest<>(each, ErrorKind.NO_UPSTREAM, retryAfter)));
                longWork.drain()
                        .forEach(each -> refused.add(new RejectedRequest<>(each, ErrorKind.NO_UPSTREAM, retryAfter)));
            }
        }
        refused.forEach(onRejected);
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
     * Long work never holds every slot, and is owed a few of them. Otherwise the more urgent head goes first, and short
     * work before long.
     */
    private Optional<FairQueue<T>> selectQueue(ServiceRoute route, long now) {
        int slots = route.usableSlots(now);
        int held = longWorkSlotsInUse.get();
        boolean longMayRun = longWork.size() > 0 && held < WorkDurations.maxLongWorkSlots(slots);
        if (!longMayRun) {
            return shortWork.size() > 0 ? Optional.of(shortWork) : Optional.empty();
        }
        boolean longIsOwed = held < WorkDurations.reservedLongWorkSlots(slots);
        if (shortWork.size() == 0 || longIsOwed) {
            return Optional.of(longWork);
        }
        return Optional.of(longWork.headUrgency() < shortWork.headUrgency() ? longWork : shortWork);
    }

    private QueueLoad currentLoad(ServiceRoute route, long now) {
        return new QueueLoad(route.usableSlots(now), workDurations.meanNanoseconds());
    }

    private record Assignment<T>(WaitingRequest<T> request, HostRoute host) {}
}
