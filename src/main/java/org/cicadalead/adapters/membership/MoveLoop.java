package org.cicadalead.adapters.membership;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.function.Supplier;
import org.cicadalead.logic.membership.MoveCoordinator;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.command.FleetCommand.HostMove;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.EventSink;
import org.cicadalead.ports.PlacementControl;
import org.cicadalead.ports.TimerService;
import org.pcollections.TreePMap;

/**
 * Drives {@link MoveCoordinator} in one process: acknowledges withdrawals once nothing is in flight and the connections
 * are closed, and appends assignments. {@link #tick} is called by one thread at a time; the rest is safe for use by
 * several threads.
 */
public final class MoveLoop implements AutoCloseable {
    private static final Duration PERIOD = Duration.ofMillis(200);

    private final ProcessIdentifier self;
    private final Supplier<SharedState> state;
    private final Function<Command, CompletableFuture<?>> submit;
    private final Supplier<Set<ProcessIdentifier>> cutOffMembers;
    private final Function<HostMove, Boolean> sponsoredProcessesIdle;
    private final TimerService timers;
    private final EventSink events;
    private final List<PlacementControl> controls = new CopyOnWriteArrayList<>();
    private final List<TimerService.Subscription> subscriptions = new CopyOnWriteArrayList<>();
    private final Set<HostMove> completedReboots = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean rebootInFlight = new AtomicBoolean();
    private final AtomicBoolean rebootRecordInFlight = new AtomicBoolean();
    private final AtomicBoolean acknowledgementInFlight = new AtomicBoolean();
    private final AtomicBoolean assignmentInFlight = new AtomicBoolean();
    private final AtomicBoolean cancellationInFlight = new AtomicBoolean();
    private volatile Optional<HostRebooter> rebooter = Optional.empty();
    private TreePMap<HostName, MoveCoordinator.TrackedMove> trackedMoves = TreePMap.empty();

    MoveLoop(
            ProcessIdentifier self,
            Supplier<SharedState> state,
            Function<Command, CompletableFuture<?>> submit,
            Supplier<Set<ProcessIdentifier>> cutOff,
            Function<HostMove, Boolean> covered,
            TimerService timers,
            EventSink events) {
        this.self = self;
        this.state = state;
        this.submit = submit;
        this.cutOffMembers = cutOff;
        this.sponsoredProcessesIdle = covered;
        this.timers = timers;
        this.events = events;
    }

    void start() {
        subscriptions.add(timers.every(PERIOD, this::tick));
    }

    /** Adds a part of the process that places work; without any part nothing is acknowledged. */
    void addPlacementControl(PlacementControl control) {
        controls.add(control);
    }

    /** Sets how hosts are rebooted; without it a move waits for every member. */
    void setRebooter(HostRebooter newReboots) {
        rebooter = Optional.of(newReboots);
    }

    @Override
    public void close() {
        subscriptions.forEach(TimerService.Subscription::close);
    }

    /** Decides once. */
    void tick() {
        SharedState current = state.get();
        if (!current.members().containsKey(self)) {
            return;
        }
        MoveCoordinator.DecisionInput facts = new MoveCoordinator.DecisionInput(
                self, timers.nanoTime(), findBusyHosts(current), cutOffMembers.get(), Set.copyOf(completedReboots));
        MoveCoordinator.Decision decision = MoveCoordinator.decide(current, trackedMoves, facts);
        trackedMoves = decision.trackedMoves();
        completedReboots.removeIf(move -> isMoveFinished(current, move));
        if (!decision.toRecordReboot().isEmpty()) {
            append(
                    rebootRecordInFlight,
                    new FleetCommand.RebootForMove(decision.toRecordReboot(), decision.skippedMembers()));
        }
        decision.toReboot().forEach(this::reboot);
        acknowledge(decision.toAcknowledge());
        assign(current, decision);
        for (FleetCommand.CancelMove cancel : decision.toCancel()) {
            append(cancellationInFlight, cancel);
        }
    }

    /**
     * Returns whether a move can be acknowledged as far as this process and those that it vouches for are concerned.
     */
    boolean isIdle(HostMove move) {
        return isIdle(move.host()) && sponsoredProcessesIdle.apply(move);
    }

    /** Returns the withdrawals on whose hosts this process has nothing in flight, after closing its connections. */
    List<HostMove> closeConnectionsAndFindIdleMoves() {
        return state.get().hosts().values().stream()
                .filter(host -> host.move().isPresent())
                .map(host -> new HostMove(host.name(), host.move().get().version()))
                .filter(this::closeConnectionsAndCheckIdle)
                .toList();
    }

    private boolean closeConnectionsAndCheckIdle(HostMove move) {
        controls.forEach(control -> control.closeConnections(move.host()));
        return isIdle(move.host());
    }

    private Set<HostName> findBusyHosts(SharedState current) {
        Set<HostName> busy = new HashSet<>();
        for (HostState host : current.hosts().values()) {
            if (host.move().isPresent()
                    && host.move().get().awaited().containsKey(self)
                    && !isIdle(new HostMove(host.name(), host.move().get().version()))) {
                busy.add(host.name());
            }
        }
        return busy;
    }

    private boolean isIdle(HostName host) {
        return !controls.isEmpty() && controls.stream().allMatch(control -> control.countInFlight(host) == 0);
    }

    /** Connections are closed before the count is read once more: nothing that was chosen earlier can use them now. */
    private void acknowledge(List<HostMove> moves) {
        List<HostMove> quiet =
                moves.stream().filter(this::closeConnectionsAndCheckIdle).toList();
        if (!quiet.isEmpty()) {
            append(acknowledgementInFlight, new FleetCommand.Acknowledge(self, quiet));
        }
    }

    private void assign(SharedState current, MoveCoordinator.Decision decision) {
        if (decision.toAssign().isEmpty()) {
            return;
        }
        if (append(assignmentInFlight, new FleetCommand.Assign(decision.toAssign(), decision.skippedMembers()))) {
            for (HostMove move : decision.toAssign()) {
                events.emit(
                        EventKind.MOVE_ASSIGNING,
                        Optional.of(causeOf(move)),
                        EventDetail.of("pool", current.hosts().get(move.host()).pool()),
                        EventDetail.of("lapsed", decision.skippedMembers()));
            }
        }
    }

    private static boolean isMoveFinished(SharedState current, HostMove move) {
        return Optional.ofNullable(current.hosts().get(move.host()))
                .flatMap(HostState::move)
                .filter(found -> found.version() == move.moveVersion())
                .isEmpty();
    }

    private void reboot(HostMove move) {
        if (rebooter.isEmpty() || !rebootInFlight.compareAndSet(false, true)) {
            return;
        }
        rebooter.get().reboot(move).whenComplete((finished, failure) -> {
            rebootInFlight.set(false);
            if (failure == null && finished) {
                completedReboots.add(move);
            }
        });
    }

    private boolean append(AtomicBoolean running, Command command) {
        if (!running.compareAndSet(false, true)) {
            return false;
        }
        submit.apply(command).whenComplete((outcome, failure) -> running.set(false));
        return true;
    }

    /** Reboots hosts by the platform. Implementations are safe for use by several threads. */
    @FunctionalInterface
    interface HostRebooter {
        /** Asks for the reboot that belongs to a move, again and again, until the result says that it has finished. */
        CompletableFuture<Boolean> reboot(HostMove move);
    }

    /** Returns the causal identifier of a move on the time line. */
    static String causeOf(HostMove move) {
        return "move-" + move.host() + "-" + move.moveVersion();
    }
}
