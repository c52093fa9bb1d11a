package org.cicadalead.adapters.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.cicadalead.adapters.request.SlotMessage.SlotReply;
import org.cicadalead.adapters.request.SlotMessage.SlotRequest;
import org.cicadalead.adapters.request.SlotMessage.Verb;
import org.cicadalead.logic.request.HostRoute;
import org.cicadalead.logic.request.RoutingIndex;
import org.cicadalead.logic.request.ServiceRoute;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.state.Member;
import org.cicadalead.model.state.SharedState;

/**
 * Exchanges slots with the other entry processes: collects reports after a membership change, and borrows and lends
 * slots while one process has waiting requests and another has free slots. Only reachable owners are asked, and owners
 * in other availability zones only when the own zone is too slow. Safe for use by several threads.
 */
final class SlotExchange {
    private static final Duration REPORT_PERIOD = Duration.ofMillis(100);
    private static final int MAX_SLOTS_PER_REQUEST = 8;

    private final RequestPorts ports;
    private final ZoneName zone;
    private final SlotTable table;
    private final SlotChannel channel;
    private final SlotLoans loans;
    private final SlotBorrower borrower;
    private final Supplier<RoutingIndex> index;
    private final ToIntFunction<ServiceName> waitingCount;
    private final Consumer<PoolName> onSlotsFreed;
    private long nextReportAt;
    private volatile boolean stopping;

    SlotExchange(
            RequestPorts ports,
            SlotChannel channel,
            ZoneName zone,
            SlotTable table,
            Supplier<RoutingIndex> index,
            ToIntFunction<ServiceName> waitingCount,
            Consumer<PoolName> onSlotsFreed) {
        this.ports = ports;
        this.zone = zone;
        this.table = table;
        this.channel = channel;
        this.index = index;
        this.waitingCount = waitingCount;
        this.onSlotsFreed = onSlotsFreed;
        this.loans = new SlotLoans(table::runtime);
        this.borrower = new SlotBorrower(channel, table::runtime);
        channel.setRequestHandler(this::handleRequest);
    }

    /** Requests slots for a service, as many as requests are waiting, up to {@link #MAX_SLOTS_PER_REQUEST}. */
    void requestSlots(ServiceRoute route, int count, boolean alsoOtherZones) {
        long now = ports.timers().nanoTime();
        int slotCount = Math.min(count, MAX_SLOTS_PER_REQUEST);
        for (ProcessIdentifier owner : findOwnersToAsk(alsoOtherZones)) {
            borrower.requestSlots(
                    owner,
                    route.service().name(),
                    slotCount,
                    now,
                    () -> onSlotsFreed.accept(route.service().pool()));
        }
    }

    /** Requests missing reports and ends loans. Called by the timer. */
    void onTick(long now) {
        SharedState state = ports.state().get();
        if (now - nextReportAt >= 0) {
            nextReportAt = now + REPORT_PERIOD.toNanos();
            for (ProcessIdentifier process : table.findAwaitedProcesses()) {
                channel.send(process, SlotRequest.of(Verb.REPORT))
                        .thenAccept(reply -> table.onReport(process, reply.drainedOffset()));
            }
        }
        loans.reclaimFromDeparted(
                state.members()::containsKey, SlotTable.computeQuarantine(state).toNanos(), now);
        borrower.returnUnneededLoans(
                loan -> !stopping && waitingCount.applyAsInt(loan.service()) > 0 && isUsable(loan.host()),
                state.members()::containsKey,
                now);
    }

    /**
     * Announces to the other processes that this one places no more requests, so that its slots can be used
     * immediately.
     */
    void announceIdle() {
        stopping = true;
        for (ProcessIdentifier process : ports.state().get().members().keySet()) {
            if (!process.equals(ports.process())) {
                channel.send(process, SlotRequest.of(Verb.IDLE));
            }
        }
    }

    /** Stops borrowing and lending. */
    void close() {
        stopping = true;
    }

    boolean hasNoLoans() {
        return loans.hasNoLoans() && borrower.hasNoLoans();
    }

    private boolean isUsable(HostName host) {
        return Optional.ofNullable(ports.state().get().hosts().get(host))
                .filter(state -> state.isAvailable())
                .isPresent();
    }

    private List<ProcessIdentifier> findOwnersToAsk(boolean alsoOtherZones) {
        List<ProcessIdentifier> owners = new ArrayList<>();
        for (Member member : ports.state().get().members().values()) {
            boolean inZone = member.zone().equals(zone);
            boolean isOther = !member.process().equals(ports.process());
            if (isOther && (inZone || alsoOtherZones) && channel.isReachable(member.process())) {
                owners.add(member.process());
            }
        }
        return owners;
    }

    private SlotReply handleRequest(ProcessIdentifier caller, SlotRequest request) {
        List<HostName> lent = List.of();
        switch (request.verb()) {
            case REPORT -> table.refresh(ports.state().get(), ports.timers().nanoTime());
            case IDLE -> table.onIdle(caller);
            case BORROW -> lent = lend(caller, request);
            case RETURN -> onSlotsReturned(loans.takeBack(caller, request.number(), request.hosts()), request.hosts());
            case CANCEL -> loans.cancel(caller, request.number());
            default -> throw new IllegalStateException("unknown verb " + request.verb());
        }
        return new SlotReply(table.drainedOffset(), lent);
    }

    private List<HostName> lend(ProcessIdentifier caller, SlotRequest request) {
        Optional<ServiceRoute> route =
                request.service().flatMap(name -> index.get().findRoute(name));
        boolean isMember = ports.state().get().members().containsKey(caller);
        if (route.isEmpty() || stopping || !isMember || hasWaitingRequests(route.get())) {
            return List.of();
        }
        List<HostRoute> hosts = route.get().hosts();
        return loans.lend(
                caller, request.number(), hosts, request.count(), ports.timers().nanoTime());
    }

    private boolean hasWaitingRequests(ServiceRoute route) {
        return index.get().routesOf(route.service().pool()).stream()
                .anyMatch(other -> waitingCount.applyAsInt(other.service().name()) > 0);
    }

    private void onSlotsReturned(boolean anyReturned, List<HostName> hosts) {
        if (!anyReturned) {
            return;
        }
        for (HostName host : hosts) {
            Optional.ofNullable(ports.state().get().hosts().get(host))
                    .ifPresent(state -> onSlotsFreed.accept(state.pool()));
        }
    }
}
