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
 * Talks to the other entry processes about slots: reports after a change of membership, and loans while one process has
 * requests waiting and another has slots free. Owners in the own availability zone are asked first, others only when
 * the own zone is too slow and only while they are reachable. Safe for use by several threads.
 */
final class SlotExchange {
    private static final Duration REPORT_PERIOD = Duration.ofMillis(100);
    private static final int MAX_SLOTS_PER_REQUEST = 8;

    private final RequestPorts ports;
    private final ZoneName zone;
    private final SlotTable table;
    private final SlotChannel peers;
    private final SlotLoans loans;
    private final SlotBorrower borrower;
    private final Supplier<RoutingIndex> index;
    private final ToIntFunction<ServiceName> waitingCount;
    private final Consumer<PoolName> onSlotsFreed;
    private long nextReportAt;
    private volatile boolean stopping;

    SlotExchange(
            RequestPorts ports,
            SlotChannel peers,
            ZoneName zone,
            SlotTable table,
            Supplier<RoutingIndex> index,
            ToIntFunction<ServiceName> waiting,
            Consumer<PoolName> onSlots) {
        this.ports = ports;
        this.zone = zone;
        this.table = table;
        this.peers = peers;
        this.index = index;
        this.waitingCount = waiting;
        this.onSlotsFreed = onSlots;
        this.loans = new SlotLoans(table::runtime);
        this.borrower = new SlotBorrower(peers, table::runtime);
        peers.setRequestHandler(this::handleRequest);
    }

    /** Asks for slots of a service, as many as requests wait. */
    void requestSlots(ServiceRoute route, int count, boolean alsoOtherZones) {
        long now = ports.timers().nanoTime();
        int wanted = Math.min(count, MAX_SLOTS_PER_REQUEST);
        for (ProcessIdentifier owner : findOwnersToAsk(alsoOtherZones)) {
            borrower.requestSlots(
                    owner,
                    route.service().name(),
                    wanted,
                    now,
                    () -> onSlotsFreed.accept(route.service().pool()));
        }
    }

    /** Does what is due; called by the timer. */
    void onTick(long now) {
        SharedState state = ports.state().get();
        if (now - nextReportAt >= 0) {
            nextReportAt = now + REPORT_PERIOD.toNanos();
            for (ProcessIdentifier process : table.findAwaitedProcesses()) {
                peers.send(process, SlotRequest.of(Verb.REPORT))
                        .thenAccept(answer -> table.onReport(process, answer.drainedOffset()));
            }
        }
        loans.reclaimFromDeparted(
                state.members()::containsKey, SlotTable.computeQuarantine(state).toNanos(), now);
        borrower.returnUnneededLoans(
                loan -> !stopping && waitingCount.applyAsInt(loan.service()) > 0 && isUsable(loan.host()),
                state.members()::containsKey,
                now);
    }

    /** Tells the others that nothing is placed from here any more, so that its slots can be used at once. */
    void announceIdle() {
        stopping = true;
        for (ProcessIdentifier process : ports.state().get().members().keySet()) {
            if (!process.equals(ports.process())) {
                peers.send(process, SlotRequest.of(Verb.IDLE));
            }
        }
    }

    /** Stops borrowing and lending. */
    void stop() {
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
        List<ProcessIdentifier> asked = new ArrayList<>();
        for (Member member : ports.state().get().members().values()) {
            boolean inZone = member.zone().equals(zone);
            boolean other = !member.process().equals(ports.process());
            if (other && (inZone || alsoOtherZones) && peers.isReachable(member.process())) {
                asked.add(member.process());
            }
        }
        return asked;
    }

    private SlotReply handleRequest(ProcessIdentifier caller, SlotRequest question) {
        List<HostName> lent = List.of();
        switch (question.verb()) {
            case REPORT -> table.refresh(ports.state().get(), ports.timers().nanoTime());
            case IDLE -> table.onIdle(caller);
            case BORROW -> lent = lend(caller, question);
            case RETURN ->
                onSlotsReturned(loans.takeBack(caller, question.number(), question.hosts()), question.hosts());
            case CANCEL -> loans.cancel(caller, question.number());
            default -> throw new IllegalStateException("unknown verb " + question.verb());
        }
        return new SlotReply(table.drainedOffset(), lent);
    }

    private List<HostName> lend(ProcessIdentifier caller, SlotRequest question) {
        Optional<ServiceRoute> route =
                question.service().flatMap(name -> index.get().findRoute(name));
        boolean isMember = ports.state().get().members().containsKey(caller);
        if (route.isEmpty() || stopping || !isMember || hasWaitingRequests(route.get())) {
            return List.of();
        }
        List<HostRoute> hosts = route.get().hosts();
        return loans.lend(
                caller,
                question.number(),
                hosts,
                question.count(),
                ports.timers().nanoTime());
    }

    private boolean hasWaitingRequests(ServiceRoute route) {
        return index.get().routesOf(route.service().pool()).stream()
                .anyMatch(other -> waitingCount.applyAsInt(other.service().name()) > 0);
    }

    private void onSlotsReturned(boolean any, List<HostName> hosts) {
        if (!any) {
            return;
        }
        for (HostName host : hosts) {
            Optional.ofNullable(ports.state().get().hosts().get(host))
                    .ifPresent(state -> onSlotsFreed.accept(state.pool()));
        }
    }
}
