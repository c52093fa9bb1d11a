package org.cicadalead.adapters.request;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import org.cicadalead.logic.request.FairQueue.RejectedRequest;
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
 * Processes admitted requests up to their response: queueing, choice of a worker, attempts and retries. Safe for use by
 * several threads.
 */
final class RequestPipeline implements PlacementControl, AutoCloseable {
    private static final Duration TICK_PERIOD = Duration.ofMillis(50);
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(5);
    private static final int OTHER_ZONE_TIMEOUT_DIVISOR = 8;
    private static final int RETRY_AFTER_SECONDS = 1;

    private final RequestPorts ports;
    private final RequestLimits limits;
    private final ZoneName zone;
    private final RequestMetrics metrics;
    private final ExecutorService threads;
    private final SlotTable slots;
    private final Optional<SlotExchange> slotExchange;
    private final RoutingTable routing;
    private final UpstreamClients clients = new UpstreamClients();
    private final UpstreamAttempt upstreamAttempt;
    private final Map<ServiceName, ServiceDispatcher<CallerRequest>> dispatchers = new ConcurrentHashMap<>();
    private final Set<CallerRequest> activeRequests = ConcurrentHashMap.newKeySet();
    private final TimerService.Subscription tickSubscription;
    private final long startedAt;

    RequestPipeline(
            RequestPorts ports, RequestLimits limits, ZoneName zone, RequestMetrics metrics, ExecutorService threads) {
        this.ports = ports;
        this.limits = limits;
        this.metrics = metrics;
        this.threads = threads;
        this.zone = zone;
        this.slots = new SlotTable(ports.process(), ports.peers().isPresent());
        this.routing = new RoutingTable(ports.state(), zone, slots::runtime);
        this.upstreamAttempt = new UpstreamAttempt(ports, clients);
        this.slotExchange = ports.peers()
                .map(peers -> new SlotExchange(
                        ports,
                        new SlotChannel(peers),
                        zone,
                        slots,
                        this::refreshIndex,
                        this::countWaiting,
                        this::dispatchPool));
        slots.refresh(ports.state().get(), now());
        this.startedAt = now();
        this.tickSubscription = ports.timers().every(TICK_PERIOD, this::onTick);
    }

    /** Returns the routing index, rebuilt if the shared state has changed. */
    RoutingIndex refreshIndex() {
        return routing.refreshIndex();
    }

    /** Submits a request, which then gets exactly one response. */
    void submit(CallerRequest request, ServiceRoute route) {
        activeRequests.add(request);
        ServiceDispatcher<CallerRequest> dispatcher =
                getOrCreateDispatcher(route.service().name());
        dispatcher.retryBudget().deposit();
        request.enterPhase(RequestPhase.QUEUED);
        enqueue(request, dispatcher, route);
    }

    /** Responds to a request with a stored response. */
    void replayResponse(CallerRequest request, StoredResponse response) {
        upstreamAttempt.writeResponse(request, response, Optional.empty());
        ports.events().emit(EventKind.REQUEST_REPLAYED, Optional.of(request.cause()));
    }

    /** Rejects a request that was not submitted. */
    void reject(CallerRequest request, ErrorKind kind, String detail) {
        fail(request, kind, detail, RETRY_AFTER_SECONDS);
    }

    /** Removes a finished request. */
    void remove(CallerRequest request) {
        activeRequests.remove(request);
    }

    /**
     * Returns whether the slots of this process are confirmed, or {@link #READY_TIMEOUT} has passed while waiting for
     * the reports of the other processes.
     */
    boolean isReady() {
        return slots.isConfirmed(zone) || now() - startedAt >= READY_TIMEOUT.toNanos();
    }

    /** Stops borrowing and lending slots, and returns the borrowed ones. */
    void stopSlotExchange() {
        slotExchange.ifPresent(SlotExchange::close);
    }

    /** Returns whether no slot is lent or borrowed. */
    boolean hasNoLoans() {
        return slotExchange.map(SlotExchange::hasNoLoans).orElse(true);
    }

    /** Announces to the other processes that this one places no more requests. */
    void announceIdle() {
        slotExchange.ifPresent(SlotExchange::announceIdle);
    }

    @Override
    public int countInFlight(HostName host) {
        return slots.runtime(host).slots().counts().used();
    }

    /** Returns whether requests from this process to a host fail, so that the host is ejected. */
    boolean isFailing(HostName host) {
        return slots.runtime(host).record().isEjected();
    }

    @Override
    public void closeConnections(HostName host) {
        clients.close(host);
    }

    @Override
    public void close() {
        tickSubscription.close();
        clients.close();
    }

    private long now() {
        return ports.timers().nanoTime();
    }

    private void enqueue(CallerRequest request, ServiceDispatcher<CallerRequest> dispatcher, ServiceRoute route) {
        request.setLongWork(dispatcher.workDurations().isLong(request.workKind()));
        int share = routing.refreshIndex().shareOf(request.terms().team());
        request.startSubmitting();
        dispatcher.submit(request.terms(), request, request.isLongWork(), share, route, now());
        Optional<HostRoute> hostChosenOnSubmit = request.endSubmitting();
        requestSlots(route, dispatcher);
        hostChosenOnSubmit.ifPresent(host -> runAttempt(request, host));
    }

    /**
     * Requests slots from other processes while requests are waiting. Slots of other zones are requested only if
     * waiting for the own slots would take more than a fraction of the service's timeout (see
     * {@link #OTHER_ZONE_TIMEOUT_DIVISOR}).
     */
    private void requestSlots(ServiceRoute route, ServiceDispatcher<CallerRequest> dispatcher) {
        int count = dispatcher.countWaiting();
        if (count == 0 || slotExchange.isEmpty()) {
            return;
        }
        int ownSlots = route.usableSlots(now());
        long expectedWait =
                new QueueLoad(ownSlots, dispatcher.workDurations().meanNanoseconds()).expectedWaitNanoseconds(count);
        boolean needsOtherZones =
                ownSlots == 0 || expectedWait > route.service().timeout().toNanos() / OTHER_ZONE_TIMEOUT_DIVISOR;
        slotExchange.get().requestSlots(route, count, needsOtherZones);
    }

    /** Returns the number of requests of a service that wait in this process. */
    int countWaiting(ServiceName service) {
        ServiceDispatcher<CallerRequest> dispatcher = dispatchers.get(service);
        return dispatcher == null ? 0 : dispatcher.countWaiting();
    }

    private ServiceDispatcher<CallerRequest> getOrCreateDispatcher(ServiceName service) {
        ServiceDispatcher<CallerRequest> existing = dispatchers.get(service);
        return existing != null ? existing : dispatchers.computeIfAbsent(service, this::createDispatcher);
    }

    private ServiceDispatcher<CallerRequest> createDispatcher(ServiceName service) {
        ServiceDispatcher<CallerRequest> dispatcher = new ServiceDispatcher<>(
                (request, host) -> {
                    if (!request.tryHandToSubmitter(host)) {
                        threads.execute(() -> runAttempt(request, host));
                    }
                },
                rejection -> threads.execute(() -> reject(rejection)));
        metrics.registerQueueGauge(service, dispatcher::countWaiting);
        return dispatcher;
    }

    private void runAttempt(CallerRequest request, HostRoute host) {
        ServiceDispatcher<CallerRequest> dispatcher =
                getOrCreateDispatcher(request.terms().service());
        boolean isLong = request.isLongWork();
        long start = now();
        HeldSlot heldSlot = new HeldSlot(() -> {
            host.runtime().slots().release();
            dispatcher.workDurations().recordDuration(request.workKind(), now() - start);
            if (isLong) {
                dispatcher.onLongWorkEnded();
            }
            dispatchPool(host.state().pool());
        });
        try {
            AttemptOutcome outcome = upstreamAttempt.run(request, host, heldSlot);
            recordOutcome(request, host.runtime(), outcome);
            heldSlot.release();
            finishAttempt(request, dispatcher, outcome);
        } catch (CicadaleadException rejection) {
            fail(request, rejection.kind(), rejection.getMessage(), RETRY_AFTER_SECONDS);
        } catch (RuntimeException unexpected) {
            ports.events()
                    .emit(
                            EventKind.INTERNAL_FAILURE,
                            Optional.of(request.cause()),
                            EventDetail.of("failure", unexpected));
            fail(request, ErrorKind.INTERNAL, unexpected.toString(), RETRY_AFTER_SECONDS);
        } finally {
            heldSlot.release();
        }
    }

    private void finishAttempt(
            CallerRequest request, ServiceDispatcher<CallerRequest> dispatcher, AttemptOutcome outcome) {
        if (outcome.execution() == Execution.RAN) {
            metrics.recordResponse(now() - request.terms().arrivalNanoseconds());
            ports.events().emit(EventKind.REQUEST_ANSWERED, Optional.of(request.cause()));
            return;
        }
        if (!request.exchange().isOpen()) {
            boolean notRun = request.progress().executionAfter(outcome) == Execution.NOT_RUN;
            request.notifyFailed(notRun ? ErrorKind.CANCELLED : ErrorKind.OUTCOME_UNKNOWN);
            return;
        }
        boolean shouldRetry = RetryPolicy.tryAcquireRetry(
                request.terms(),
                request.progress(),
                outcome,
                request.body().isResendable(),
                dispatcher.retryBudget(),
                now());
        if (shouldRetry) {
            retry(request, dispatcher, outcome);
        } else {
            failAfterAttempt(request, outcome);
        }
    }

    private void retry(CallerRequest request, ServiceDispatcher<CallerRequest> dispatcher, AttemptOutcome outcome) {
        metrics.recordRetry();
        ports.events()
                .emit(
                        EventKind.REQUEST_RETRIED,
                        Optional.of(request.cause()),
                        EventDetail.of("outcome", outcome),
                        EventDetail.of("attempts", request.progress().attempts()));
        request.updateProgress(current -> current.requeuedAfter(outcome));
        Optional<ServiceRoute> route = refreshIndex().findRoute(request.terms().service());
        if (route.isEmpty()) {
            failAfterAttempt(request, outcome);
            return;
        }
        enqueue(request, dispatcher, route.get());
    }

    private void failAfterAttempt(CallerRequest request, AttemptOutcome outcome) {
        boolean notRun = request.progress().executionAfter(outcome) == Execution.NOT_RUN;
        boolean overdue = request.terms().remainingNanoseconds(now()) <= 0;
        ErrorKind kind = outcome.errorKind();
        if (notRun && overdue) {
            kind = ErrorKind.DEADLINE_UNREACHABLE;
        } else if (!notRun && kind.execution() == Execution.NOT_RUN) {
            kind = request.body().isOverLimit() ? ErrorKind.BODY_TOO_LARGE : ErrorKind.OUTCOME_UNKNOWN;
        }
        fail(request, kind, "The service '" + request.terms().service() + "': " + kind.title(), RETRY_AFTER_SECONDS);
    }

    private void reject(RejectedRequest<CallerRequest> rejection) {
        CallerRequest request = rejection.request().item();
        // If an earlier attempt may have run, the outcome stays unknown, whatever ended the wait.
        boolean notRun = request.progress().earlierExecution() == Execution.NOT_RUN;
        ErrorKind kind = notRun ? rejection.kind() : ErrorKind.OUTCOME_UNKNOWN;
        String detail = "The service '" + request.terms().service() + "': "
                + rejection.kind().title();
        fail(request, kind, detail, rejection.retryAfterSeconds());
    }

    private void fail(CallerRequest request, ErrorKind kind, String detail, int retryAfterSeconds) {
        request.notifyFailed(kind);
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
        metrics.recordFailure(kind);
        request.exchange().reject(kind, detail, retryAfterSeconds);
    }

    private void recordOutcome(CallerRequest request, HostRuntime host, AttemptOutcome outcome) {
        boolean mayEject = refreshIndex()
                .findRoute(request.terms().service())
                .map(ServiceRoute::canEject)
                .orElse(false);
        HostRuntime.HealthChange change = host.recordOutcome(outcome, mayEject, now());
        if (change.isEjection()) {
            metrics.recordEjection();
            ports.events()
                    .emit(
                            EventKind.HOST_EJECTED,
                            Optional.of(request.cause()),
                            EventDetail.of("host", host.name()),
                            EventDetail.of("outcome", outcome),
                            EventDetail.of("ejections", change.current().consecutiveEjections()));
        } else if (change.isReturnToService()) {
            ports.events()
                    .emit(EventKind.HOST_RETURNED, Optional.of(request.cause()), EventDetail.of("host", host.name()));
        }
    }

    /**
     * Dispatches the requests of all services of a pool. They share its slots, so that each of them may use a slot that
     * was released.
     */
    private void dispatchPool(PoolName pool) {
        long now = now();
        for (ServiceRoute route : refreshIndex().routesOf(pool)) {
            ServiceDispatcher<CallerRequest> dispatcher =
                    dispatchers.get(route.service().name());
            if (dispatcher != null) {
                dispatcher.dispatch(route, now);
            }
        }
    }

    private void onTick() {
        long now = now();
        slots.refresh(ports.state().get(), now);
        slotExchange.ifPresent(slotExchange -> slotExchange.onTick(now));
        RoutingIndex index = refreshIndex();
        dispatchers.forEach((service, dispatcher) -> index.findRoute(service).ifPresent(route -> {
            dispatcher.dispatch(route, now);
            dispatcher.rejectOverdue(route, now);
            requestSlots(route, dispatcher);
        }));
        for (CallerRequest request : activeRequests) {
            endOverdueRequest(request, now);
        }
    }

    /**
     * Ends a request after its deadline, so that a caller that does not read its response, or an upstream that does not
     * end its response, cannot hold the slot.
     */
    private void endOverdueRequest(CallerRequest request, long now) {
        long overdueNanoseconds = -request.terms().remainingNanoseconds(now);
        if (overdueNanoseconds > limits.answerGrace().toNanos()) {
            threads.execute(request::abort);
        } else if (overdueNanoseconds > 0 && request.progress().phase() == RequestPhase.SENT) {
            threads.execute(request::closeUpstreamResponse);
        }
    }
}
