package org.cicadalead.logic.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.cicadalead.logic.request.FairQueue.Refused;
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
    public static final Duration PATIENCE_WITHOUT_SLOTS = Duration.ofSeconds(2);

    private final BiConsumer<T, HostRoute> onChosen;
    private final Consumer<Refused<T>> onRefused;
    private final FairQueue<T> shortWork = new FairQueue<>();
    private final FairQueue<T> longWork = new FairQueue<>();
    private final AtomicInteger longInUse = new AtomicInteger();
    private final RetryBudget retryBudget = new RetryBudget();
    private final WorkLengths lengths = new WorkLengths();
    private int rotation;
    private Optional<Long> withoutSlotsSince = Optional.empty();

    /** Creates a dispatcher that says what is to be done with each request. */
    public ServiceDispatcher(BiConsumer<T, HostRoute> onChosen, Consumer<Refused<T>> onRefused) {
        this.onChosen = onChosen;
        this.onRefused = onRefused;
    }

    /** Returns the retry budget of the service. */
    public RetryBudget retryBudget() {
        return retryBudget;
    }

    /** Returns how long requests hold a slot. */
    public WorkLengths lengths() {
        return lengths;
    }

    /** Returns the number of waiting requests. */
    public synchronized int waiting() {
        return shortWork.size() + longWork.size();
    }

    /** Adds a request; it is chosen for, refused, or waits. */
    public void submit(RequestTerms terms, T item, boolean isLong, int share, ServiceRoute route, long now) {
        List<Refused<T>> refused;
        synchronized (this) {
            FairQueue<T> queue = isLong ? longWork : shortWork;
            int limit = route.service().queueLimit() - (isLong ? shortWork.size() : longWork.size());
            refused = queue.offer(terms, item, share, limit, load(route, now), now);
        }
        refused.forEach(onRefused);
        dispatch(route, now);
    }

    /** Gives free slots to waiting requests, as many as there are. */
    public void dispatch(ServiceRoute route, long now) {
        List<Chosen<T>> chosen = new ArrayList<>();
        synchronized (this) {
            for (Optional<Chosen<T>> next = chooseNext(route, now); next.isPresent(); next = chooseNext(route, now)) {
                chosen.add(next.get());
            }
        }
        chosen.forEach(next -> onChosen.accept(next.request().item(), next.host()));
    }

    /** Notes that long work has given its slot back. */
    public void endLongWork() {
        longInUse.decrementAndGet();
    }

    /** Refuses what would start after its deadline, and everything when there has been no slot for a while. */
    public void shed(ServiceRoute route, long now) {
        List<Refused<T>> refused = new ArrayList<>();
        synchronized (this) {
            QueueLoad load = load(route, now);
            refused.addAll(shortWork.shedUnreachable(load, now));
            refused.addAll(longWork.shedUnreachable(load, now));
            if (isWithoutSlots(route, now)) {
                int retryAfter = load.retryAfterSeconds(shortWork.size() + longWork.size());
                shortWork.drain().forEach(each -> refused.add(new Refused<>(each, ErrorKind.NO_UPSTREAM, retryAfter)));
                longWork.drain().forEach(each -> refused.add(new Refused<>(each, ErrorKind.NO_UPSTREAM, retryAfter)));
            }
        }
        refused.forEach(onRefused);
    }

    private boolean isWithoutSlots(ServiceRoute route, long now) {
        if (route.slotsNow(now) > 0) {
            withoutSlotsSince = Optional.empty();
            return false;
        }
        long since = withoutSlotsSince.orElse(now);
        withoutSlotsSince = Optional.of(since);
        return route.hosts().isEmpty() || now - since >= PATIENCE_WITHOUT_SLOTS.toNanos();
    }

    private Optional<Chosen<T>> chooseNext(ServiceRoute route, long now) {
        Optional<FairQueue<T>> queue = nextQueue(route, now);
        if (queue.isEmpty()) {
            return Optional.empty();
        }
        Optional<HostRoute> host = route.choose(rotation++, now);
        if (host.isEmpty()) {
            return Optional.empty();
        }
        boolean isLong = queue.get() == longWork;
        if (isLong) {
            longInUse.incrementAndGet();
        }
        WaitingRequest<T> request = queue.get().poll().orElseThrow();
        return Optional.of(new Chosen<>(request, host.get()));
    }

    /**
     * Long work never holds every slot, and is owed a few of them. Otherwise the more urgent head goes first, and short
     * work before long.
     */
    private Optional<FairQueue<T>> nextQueue(ServiceRoute route, long now) {
        int slots = route.slotsNow(now);
        int held = longInUse.get();
        boolean longMayRun = longWork.size() > 0 && held < WorkLengths.slotsForLongWork(slots);
        if (!longMayRun) {
            return shortWork.size() > 0 ? Optional.of(shortWork) : Optional.empty();
        }
        boolean longIsOwed = held < WorkLengths.slotsOwedToLongWork(slots);
        if (shortWork.size() == 0 || longIsOwed) {
            return Optional.of(longWork);
        }
        return Optional.of(longWork.headUrgency() < shortWork.headUrgency() ? longWork : shortWork);
    }

    private QueueLoad load(ServiceRoute route, long now) {
        return new QueueLoad(route.slotsNow(now), lengths.meanNanoseconds());
    }

    private record Chosen<T>(WaitingRequest<T> request, HostRoute host) {}
}
