package org.cicadalead.adapters.request;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import org.cicadalead.logic.request.FairQueue.Refused;
import org.cicadalead.logic.request.HostRoute;
import org.cicadalead.logic.request.HostRuntime;
import org.cicadalead.logic.request.QueueLoad;
import org.cicadalead.logic.request.RetryPolicy;
import org.cicadalead.logic.request.RoutingIndex;
import org.cicadalead.logic.request.ServiceDispatcher;
import org.cicadalead.logic.request.ServiceRoute;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.error.Execution;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.request.AttemptOutcome;
import org.cicadalead.model.request.RequestLimits;
import org.cicadalead.model.request.RequestPhase;
import org.cicadalead.ports.PlacementControl;
import org.cicadalead.ports.TimerService;

/**
 * The way of a request from admission to its answer: queue, choice of a worker, attempts, retries. Safe for use by
 * several threads.
 */
final class RequestPath implements PlacementControl, AutoCloseable {
    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration READY_PATIENCE = Duration.ofSeconds(5);
    private static final int SPILL_PART_OF_TIMEOUT = 8;
    private static final int RETRY_AFTER_SECONDS = 1;

    private final RequestPorts ports;
    private final RequestLimits limits;
    private final ZoneName zone;
    private final RequestMetrics metrics;
    private final ExecutorService threads;
    private final SlotTable slots;
    private final Optional<SlotExchange> exchange;
    private final RoutingTable routing;
    private final UpstreamClients clients = new UpstreamClients();
    private final UpstreamAttempt attempts;
    private final Map<ServiceName, ServiceDispatcher<CallerRequest>> dispatchers = new ConcurrentHashMap<>();
    private final Set<CallerRequest> active = ConcurrentHashMap.newKeySet();
    private final TimerService.Subscription ticks;
    private final long started;

    RequestPath(
            RequestPorts ports, RequestLimits limits, ZoneName zone, RequestMetrics metrics, ExecutorService threads) {
        this.ports = ports;
        this.limits = limits;
        this.metrics = metrics;
        this.threads = threads;
        this.zone = zone;
        this.slots = new SlotTable(ports.process(), ports.peers().isPresent());
        this.routing = new RoutingTable(ports.state(), zone, slots::runtime);
        this.attempts = new UpstreamAttempt(ports, clients);
        this.exchange = ports.peers()
                .map(peers -> new SlotExchange(
                        ports, new SlotPeers(peers), zone, slots, this::index, this::waiting, this::dispatchPool));
        slots.refresh(ports.state().get(), now());
        this.started = now();
        this.ticks = ports.timers().every(TICK, this::tick);
    }

    /** Returns the newest routes. */
    RoutingIndex index() {
        return routing.newest();
    }

    /** Takes a request in; from here on it is answered exactly once. */
    void submit(CallerRequest request, ServiceRoute route) {
        active.add(request);
        ServiceDispatcher<CallerRequest> dispatcher = dispatcher(route.service().name());
        dispatcher.retryBudget().deposit();
        request.enter(RequestPhase.QUEUED);
        enqueue(request, dispatcher, route);
    }

    /** Answers a request with an answer that was kept. */
    void answer(CallerRequest request, KeptAnswer answer) {
        attempts.write(request, answer, Optional.empty());
        ports.events().emit(EventKind.REQUEST_REPLAYED, Optional.of(request.cause()));
    }

    /** Refuses a request that was not submitted. */
    void refuse(CallerRequest request, ErrorKind kind, String detail) {
        fail(request, kind, detail, RETRY_AFTER_SECONDS);
    }

    /** Forgets a request that is over. */
    void remove(CallerRequest request) {
        active.remove(request);
    }

    /** Tells whether it has slots to place work on, or has waited long enough for the other processes' reports. */
    boolean isReady() {
        return slots.isConfirmed(zone) || now() - started >= READY_PATIENCE.toNanos();
    }

    /** Borrows and lends no more; what is borrowed is given back. */
    void stopExchange() {
        exchange.ifPresent(SlotExchange::stop);
    }

    /** Tells whether no slot is lent or borrowed. */
    boolean isWithoutLoans() {
        return exchange.map(SlotExchange::isEmpty).orElse(true);
    }

    /** Tells the others that nothing is placed from here any more. */
    void announceIdle() {
        exchange.ifPresent(SlotExchange::announceIdle);
    }

    @Override
    public int countInFlight(HostName host) {
        return slots.runtime(host).slots().counts().used();
    }

    /** Tells whether requests to a host fail here, so that it is ejected. */
    boolean isFailing(HostName host) {
        return slots.runtime(host).record().isEjected();
    }

    @Override
    public void closeConnections(HostName host) {
        clients.close(host);
    }

    @Override
    public void close() {
        ticks.close();
        clients.close();
    }

    private long now() {
        return ports.timers().nanoTime();
    }

    private void enqueue(CallerRequest request, ServiceDispatcher<CallerRequest> dispatcher, ServiceRoute route) {
        request.setLongWork(dispatcher.lengths().isLong(request.workKind()));
        int share = routing.newest().shareOf(request.terms().team());
        request.startSubmitting();
        dispatcher.submit(request.terms(), request, request.isLongWork(), share, route, now());
        Optional<HostRoute> chosenAtOnce = request.endSubmitting();
        borrowFor(route, dispatcher);
        chosenAtOnce.ifPresent(host -> attempt(request, host));
    }

    /**
     * Another zone's slots are asked for when the own ones would keep requests waiting for a good part of their time.
     */
    private void borrowFor(ServiceRoute route, ServiceDispatcher<CallerRequest> dispatcher) {
        int count = dispatcher.waiting();
        if (count == 0 || exchange.isEmpty()) {
            return;
        }
        int own = route.slotsNow(now());
        long wait = new QueueLoad(own, dispatcher.lengths().meanNanoseconds()).waitNanoseconds(count);
        boolean tooSlow = own == 0 || wait > route.service().timeout().toNanos() / SPILL_PART_OF_TIMEOUT;
        exchange.get().askFor(route, count, tooSlow);
    }

    /** Returns the number of requests of a service that wait here. */
    int waiting(ServiceName service) {
        ServiceDispatcher<CallerRequest> dispatcher = dispatchers.get(service);
        return dispatcher == null ? 0 : dispatcher.waiting();
    }

    private ServiceDispatcher<CallerRequest> dispatcher(ServiceName service) {
        ServiceDispatcher<CallerRequest> held = dispatchers.get(service);
        return held != null ? held : dispatchers.computeIfAbsent(service, this::newDispatcher);
    }

    private ServiceDispatcher<CallerRequest> newDispatcher(ServiceName service) {
        ServiceDispatcher<CallerRequest> dispatcher = new ServiceDispatcher<>(
                (request, host) -> {
                    if (!request.leaveToSubmitter(host)) {
                        threads.execute(() -> attempt(request, host));
                    }
                },
                refused -> threads.execute(() -> refuse(refused)));
        metrics.watchQueue(service, dispatcher::waiting);
        return dispatcher;
    }

    private void attempt(CallerRequest request, HostRoute host) {
        ServiceDispatcher<CallerRequest> dispatcher = dispatcher(request.terms().service());
        boolean isLong = request.isLongWork();
        long start = now();
        SlotHold hold = new SlotHold(() -> {
            host.runtime().slots().endUse();
            dispatcher.lengths().note(request.workKind(), now() - start);
            if (isLong) {
                dispatcher.endLongWork();
            }
            dispatchPool(host.state().pool());
        });
        try {
            AttemptOutcome outcome = attempts.run(request, host, hold);
            note(request, host.runtime(), outcome);
            hold.release();
            finishAttempt(request, dispatcher, outcome);
        } catch (CicadaleadException refused) {
            fail(request, refused.kind(), refused.getMessage(), RETRY_AFTER_SECONDS);
        } catch (RuntimeException unexpected) {
            ports.events()
                    .emit(
                            EventKind.INTERNAL_FAILURE,
                            Optional.of(request.cause()),
                            EventDetail.of("failure", unexpected));
            fail(request, ErrorKind.INTERNAL, unexpected.toString(), RETRY_AFTER_SECONDS);
        } finally {
            hold.release();
        }
    }

    private void finishAttempt(
            CallerRequest request, ServiceDispatcher<CallerRequest> dispatcher, AttemptOutcome outcome) {
        if (outcome.execution() == Execution.RAN) {
            metrics.answered(now() - request.terms().arrivalNanoseconds());
            ports.events().emit(EventKind.REQUEST_ANSWERED, Optional.of(request.cause()));
            return;
        }
        if (!request.exchange().isOpen()) {
            boolean notRun = request.progress().executionAfter(outcome) == Execution.NOT_RUN;
            request.tellFailed(notRun ? ErrorKind.CANCELLED : ErrorKind.OUTCOME_UNKNOWN);
            return;
        }
        boolean again = RetryPolicy.tryAgain(
                request.terms(),
                request.progress(),
                outcome,
                request.body().isAtHand(),
                dispatcher.retryBudget(),
                now());
        if (again) {
            retry(request, dispatcher, outcome);
        } else {
            failAfter(request, outcome);
        }
    }

    private void retry(CallerRequest request, ServiceDispatcher<CallerRequest> dispatcher, AttemptOutcome outcome) {
        metrics.retried();
        ports.events()
                .emit(
                        EventKind.REQUEST_RETRIED,
                        Optional.of(request.cause()),
                        EventDetail.of("outcome", outcome),
                        EventDetail.of("attempts", request.progress().attempts()));
        request.change(held -> held.queuedAgain(outcome));
        Optional<ServiceRoute> route = index().service(request.terms().service());
        if (route.isEmpty()) {
            failAfter(request, outcome);
            return;
        }
        enqueue(request, dispatcher, route.get());
    }

    private void failAfter(CallerRequest request, AttemptOutcome outcome) {
        boolean notRun = request.progress().executionAfter(outcome) == Execution.NOT_RUN;
        boolean late = request.terms().remainingNanoseconds(now()) <= 0;
        ErrorKind kind = outcome.errorKind();
        if (notRun && late) {
            kind = ErrorKind.DEADLINE_UNREACHABLE;
        } else if (!notRun && kind.execution() == Execution.NOT_RUN) {
            kind = request.body().isOverLimit() ? ErrorKind.BODY_TOO_LARGE : ErrorKind.OUTCOME_UNKNOWN;
        }
        fail(request, kind, "The service '" + request.terms().service() + "': " + kind.title(), RETRY_AFTER_SECONDS);
    }

    private void refuse(Refused<CallerRequest> refused) {
        CallerRequest request = refused.request().item();
        // An earlier attempt may have run; then the outcome stays unknown, whatever ends the wait.
        boolean notRun = request.progress().earlier() == Execution.NOT_RUN;
        ErrorKind kind = notRun ? refused.kind() : ErrorKind.OUTCOME_UNKNOWN;
        String detail = "The service '" + request.terms().service() + "': "
                + refused.kind().title();
        fail(request, kind, detail, refused.retryAfterSeconds());
    }

    private void fail(CallerRequest request, ErrorKind kind, String detail, int retryAfterSeconds) {
        request.tellFailed(kind);
        if (!request.exchange().isOpen()) {
            return;
        }
        boolean notRun = kind.execution() == Execution.NOT_RUN;
        ports.events()
                .emit(
                        notRun ? EventKind.REQUEST_REFUSED : EventKind.REQUEST_OUTCOME_UNKNOWN,
                        Optional.of(request.cause()),
                        EventDetail.of("kind", kind.code()),
                        EventDetail.of("service", request.terms().service()),
                        EventDetail.of("attempts", request.progress().attempts()));
        metrics.failed(kind);
        request.exchange().refuse(kind, detail, retryAfterSeconds);
    }

    private void note(CallerRequest request, HostRuntime host, AttemptOutcome outcome) {
        boolean mayEject = index().service(request.terms().service())
                .map(ServiceRoute::mayEject)
                .orElse(false);
        HostRuntime.Change change = host.note(outcome, mayEject, now());
        if (change.isEjection()) {
            metrics.ejected();
            ports.events()
                    .emit(
                            EventKind.HOST_EJECTED,
                            Optional.of(request.cause()),
                            EventDetail.of("host", host.name()),
                            EventDetail.of("outcome", outcome),
                            EventDetail.of("ejections", change.after().ejections()));
        } else if (change.isReturn()) {
            ports.events()
                    .emit(EventKind.HOST_RETURNED, Optional.of(request.cause()), EventDetail.of("host", host.name()));
        }
    }

    /** Services that share a pool share its slots, so that each of them may use the one that was given back. */
    private void dispatchPool(PoolName pool) {
        long now = now();
        for (ServiceRoute route : index().routesOf(pool)) {
            ServiceDispatcher<CallerRequest> dispatcher =
                    dispatchers.get(route.service().name());
            if (dispatcher != null) {
                dispatcher.dispatch(route, now);
            }
        }
    }

    private void tick() {
        long now = now();
        slots.refresh(ports.state().get(), now);
        exchange.ifPresent(slotExchange -> slotExchange.tick(now));
        RoutingIndex index = index();
        dispatchers.forEach((service, dispatcher) -> index.service(service).ifPresent(route -> {
            dispatcher.dispatch(route, now);
            dispatcher.shed(route, now);
            borrowFor(route, dispatcher);
        }));
        for (CallerRequest request : active) {
            endLate(request, now);
        }
    }

    /** A caller that does not read its answer, and an upstream that does not end its own, free the slot. */
    private void endLate(CallerRequest request, long now) {
        long late = -request.terms().remainingNanoseconds(now);
        if (late > limits.answerGrace().toNanos()) {
            threads.execute(request::abort);
        } else if (late > 0 && request.progress().phase() == RequestPhase.SENT) {
            threads.execute(request::cutUpstreamAnswer);
        }
    }
}
