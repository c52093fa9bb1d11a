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
 * Runs {@link MoveCoordinator} periodically in one process: acknowledges withdrawals once nothing is in flight and the
 * connections are closed, and appends assignments. {@link #tick} must be called by one thread at a time; all other
 * methods are safe for use by several threads.
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
            Supplier<Set<ProcessIdentifier>> cutOffMembers,
            Function<HostMove, Boolean> sponsoredProcessesIdle,
            TimerService timers,
            EventSink events) {
        this.self = self;
        this.state = state;
        this.submit = submit;
        this.cutOffMembers = cutOffMembers;
        this.sponsoredProcessesIdle = sponsoredProcessesIdle;
        this.timers = timers;
        this.events = events;
    }

    void start() {
        subscriptions.add(timers.every(PERIOD, this::tick));
    }

    /** Adds a component that places work. Without any component, no withdrawal is acknowledged. */
    void addPlacementControl(PlacementControl control) {
        controls.add(control);
    }

    /** Sets the rebooter of hosts. Without it, a move waits for every member. */
    void setRebooter(HostRebooter newRebooter) {
        rebooter = Optional.of(newRebooter);
    }

    @Override
    public void close() {
        subscriptions.forEach(TimerService.Subscription::close);
    }

    /** Decides the next step of each move once, and carries it out. */
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

    /** Returns whether this process and the processes that it sponsors have no work in flight on the host of a move. */
    boolean isIdle(HostMove move) {
        return isIdle(move.host()) && sponsoredProcessesIdle.apply(move);
    }

    /** Closes the connections to all moving hosts, and returns the moves on whose hosts nothing is in flight. */
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
        Set<HostName> busyHosts = new HashSet<>();
        for (HostState host : current.hosts().values()) {
            if (host.move().isPresent()
                    && host.move().get().awaited().containsKey(self)
                    && !isIdle(new HostMove(host.name(), host.move().get().version()))) {
                busyHosts.add(host.name());
            }
        }
        return busyHosts;
    }

    private boolean isIdle(HostName host) {
        return !controls.isEmpty() && controls.stream().allMatch(control -> control.countInFlight(host) == 0);
    }

    /**
     * Closes the connections before reading the count again, so that work assigned to the host earlier cannot use them.
     */
    private void acknowledge(List<HostMove> moves) {
        List<HostMove> idleMoves =
                moves.stream().filter(this::closeConnectionsAndCheckIdle).toList();
        if (!idleMoves.isEmpty()) {
            append(acknowledgementInFlight, new FleetCommand.Acknowledge(self, idleMoves));
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
                .filter(currentMove -> currentMove.version() == move.moveVersion())
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

    private boolean append(AtomicBoolean inFlight, Command command) {
        if (!inFlight.compareAndSet(false, true)) {
            return false;
        }
        submit.apply(command).whenComplete((outcome, failure) -> inFlight.set(false));
        return true;
    }

    /** Reboots hosts through the platform. Implementations are safe for use by several threads. */
    @FunctionalInterface
    interface HostRebooter {
        /**
         * Requests the reboot for a move. The result is true once the reboot has finished; until then callers repeat
         * the request.
         */
        CompletableFuture<Boolean> reboot(HostMove move);
    }

    /** Returns the identifier that groups the events of a move on the timeline. */
    static String causeOf(HostMove move) {
        return "move-" + move.host() + "-" + move.moveVersion();
    }
}
