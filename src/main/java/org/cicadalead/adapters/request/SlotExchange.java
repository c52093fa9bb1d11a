package org.cicadalead.adapters.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.cicadalead.adapters.request.SlotMessage.Answer;
import org.cicadalead.adapters.request.SlotMessage.Question;
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
    private static final int MOST_SLOTS_AT_ONCE = 8;

    private final RequestPorts ports;
    private final ZoneName zone;
    private final SlotTable table;
    private final SlotPeers peers;
    private final SlotLoans loans;
    private final SlotBorrower borrower;
    private final Supplier<RoutingIndex> index;
    private final ToIntFunction<ServiceName> waiting;
    private final Consumer<PoolName> onSlots;
    private long nextReport;
    private volatile boolean stopping;

    SlotExchange(
            RequestPorts ports,
            SlotPeers peers,
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
        this.waiting = waiting;
        this.onSlots = onSlots;
        this.loans = new SlotLoans(table::runtime);
        this.borrower = new SlotBorrower(peers, table::runtime);
        peers.answerWith(this::answer);
    }

    /** Asks for slots of a service, as many as requests wait. */
    void askFor(ServiceRoute route, int count, boolean alsoOtherZones) {
        long now = ports.timers().nanoTime();
        int wanted = Math.min(count, MOST_SLOTS_AT_ONCE);
        for (ProcessIdentifier owner : ownersToAsk(alsoOtherZones)) {
            borrower.ask(
                    owner,
                    route.service().name(),
                    wanted,
                    now,
                    () -> onSlots.accept(route.service().pool()));
        }
    }

    /** Does what is due; called by the timer. */
    void tick(long now) {
        SharedState state = ports.state().get();
        if (now - nextReport >= 0) {
            nextReport = now + REPORT_PERIOD.toNanos();
            for (ProcessIdentifier process : table.awaited()) {
                peers.ask(process, Question.of(Verb.REPORT))
                        .thenAccept(answer -> table.onReport(process, answer.drainedOffset()));
            }
        }
        loans.reclaim(state.members()::containsKey, SlotTable.quarantine(state).toNanos(), now);
        borrower.settle(
                loan -> !stopping && waiting.applyAsInt(loan.service()) > 0 && isUsable(loan.host()),
                state.members()::containsKey,
                now);
    }

    /** Tells the others that nothing is placed from here any more, so that its slots can be used at once. */
    void announceIdle() {
        stopping = true;
        for (ProcessIdentifier process : ports.state().get().members().keySet()) {
            if (!process.equals(ports.process())) {
                peers.ask(process, Question.of(Verb.IDLE));
            }
        }
    }

    /** Stops borrowing and lending. */
    void stop() {
        stopping = true;
    }

    boolean isEmpty() {
        return loans.isEmpty() && borrower.isEmpty();
    }

    private boolean isUsable(HostName host) {
        return Optional.ofNullable(ports.state().get().hosts().get(host))
                .filter(state -> state.isAvailable())
                .isPresent();
    }

    private List<ProcessIdentifier> ownersToAsk(boolean alsoOtherZones) {
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

    private Answer answer(ProcessIdentifier caller, Question question) {
        List<HostName> lent = List.of();
        switch (question.verb()) {
            case REPORT -> table.refresh(ports.state().get(), ports.timers().nanoTime());
            case IDLE -> table.onIdle(caller);
            case BORROW -> lent = lend(caller, question);
            case RETURN -> takeBack(loans.takeBack(caller, question.number(), question.hosts()), question.hosts());
            case CANCEL -> loans.cancel(caller, question.number());
            default -> throw new IllegalStateException("unknown verb " + question.verb());
        }
        return new Answer(table.drainedOffset(), lent);
    }

    private List<HostName> lend(ProcessIdentifier caller, Question question) {
        Optional<ServiceRoute> route =
                question.service().flatMap(name -> index.get().service(name));
        boolean isMember = ports.state().get().members().containsKey(caller);
        if (route.isEmpty() || stopping || !isMember || waitsForPool(route.get())) {
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

    private boolean waitsForPool(ServiceRoute route) {
        return index.get().routesOf(route.service().pool()).stream()
                .anyMatch(other -> waiting.applyAsInt(other.service().name()) > 0);
    }

    private void takeBack(boolean any, List<HostName> hosts) {
        if (!any) {
            return;
        }
        for (HostName host : hosts) {
            Optional.ofNullable(ports.state().get().hosts().get(host)).ifPresent(state -> onSlots.accept(state.pool()));
        }
    }
}
