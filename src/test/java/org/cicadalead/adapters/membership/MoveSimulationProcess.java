package org.cicadalead.adapters.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cicadalead.adapters.peer.PeerIdentity;
import org.cicadalead.logic.membership.PeerObservation;
import org.cicadalead.logic.membership.ViewLease;
import org.cicadalead.logic.state.SharedStateFold;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.CommandIdentifier;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.EventSink;
import org.cicadalead.ports.PeerChannel;
import org.cicadalead.ports.PeerTopic;
import org.cicadalead.ports.PlacementControl;
import org.cicadalead.ports.PlatformLog;

/** One process of a {@link MoveSimulation}: runs the real membership and move services with fake ports. */
final class MoveSimulationProcess implements PeerChannel, PlatformLog, PlacementControl {
    private static final EventSink NO_EVENTS = (kind, cause, details) -> {};

    boolean isAlive = true;
    boolean isPaused;
    boolean isLogUnreachable;
    private final MoveSimulation simulation;
    private final PeerIdentity self;
    private final SimulatedTimers timers;
    private final ContactTrackingLog trackingLog;
    private final Map<PeerTopic, CallHandler> handlers = new HashMap<>();
    private final Map<CommandIdentifier, CompletableFuture<Object>> pendingOutcomes = new HashMap<>();
    private final List<WorkItem> workItems = new ArrayList<>();
    private final MembershipService membership;
    private final ViewLeases viewLeases;
    private final MemberStatusMonitor memberMonitor;
    private final MoveLoop moveLoop;
    private final SponsorService sponsorService;
    private SharedState state = SharedState.empty();

    MoveSimulationProcess(MoveSimulation simulation, int number, ZoneName zone) {
        this.simulation = simulation;
        self = new PeerIdentity(
                new ProcessIdentifier("process-" + (100 + number)),
                zone,
                new NetworkAddress("127.0.0.1", 2000 + number));
        double clockRate = 0.96 + 0.02 * (number % 5);
        timers = new SimulatedTimers(() -> (long) (simulation.nowNanoseconds() * clockRate));
        trackingLog = new ContactTrackingLog(this, timers);
        membership = new MembershipService(self, () -> state, this::submit, timers, NO_EVENTS);
        memberMonitor = new MemberStatusMonitor(
                self.process(), () -> state, this, this::probe, this::submit, timers, NO_EVENTS);
        moveLoop = new MoveLoop(
                self.process(),
                () -> state,
                this::submit,
                memberMonitor::findCutOffMembers,
                this::areSponsoredProcessesIdle,
                timers,
                NO_EVENTS);
        sponsorService = new SponsorService(
                new SponsorService.Dependencies(
                        self, () -> state, this, this::submit, trackingLog::findLease, timers, NO_EVENTS),
                moveLoop::closeConnectionsAndFindIdleMoves,
                memberMonitor::hasEnded);
        memberMonitor.setAdditionalPeers(sponsorService::sponsoredProcesses);
        viewLeases = new ViewLeases(self, () -> state, this, timers, this::findLogLease, sponsorService::isSponsored);
        moveLoop.addPlacementControl(this);
        moveLoop.setRebooter(move -> simulation.reboot(move.host()));
    }

    void start() {
        membership.start();
        viewLeases.start();
        memberMonitor.start();
        moveLoop.start();
        sponsorService.start();
    }

    boolean isSponsored() {
        return sponsorService.isSponsored();
    }

    ProcessIdentifier identifier() {
        return self.process();
    }

    ZoneName zone() {
        return self.zone();
    }

    boolean isRunning() {
        return isAlive && !isPaused;
    }

    /** Reads the log and runs the timer callbacks that are due. */
    void runOnce() {
        if (!isRunning()) {
            return;
        }
        if (!isLogUnreachable) {
            trackingLog.read(state.offset() + 1, Integer.MAX_VALUE, Duration.ZERO);
            foldTo(simulation.committedState().offset());
        }
        timers.runDue();
    }

    /** Folds the records that a peer has folded. */
    void relayFrom(MoveSimulationProcess peer) {
        if (isRunning() && peer.isRunning() && simulation.areConnected(this, peer)) {
            foldTo(peer.state.offset());
        }
    }

    /** Chooses a host for a work item according to the newest state of this process. */
    void chooseHost(PoolName pool, int index) {
        if (!isRunning()) {
            return;
        }
        List<HostState> candidates = state.hosts().values().stream()
                .filter(host -> host.pool().equals(pool) && host.isAvailable())
                .toList();
        if (!candidates.isEmpty()) {
            HostState host = candidates.get(Math.floorMod(index, candidates.size()));
            workItems.add(new WorkItem(host, Stage.CHOSEN, 0));
        }
    }

    /** Advances one work item to its next stage. */
    void advanceWork(int index) {
        if (!isRunning() || workItems.isEmpty()) {
            return;
        }
        WorkItem work = workItems.remove(Math.floorMod(index, workItems.size()));
        HostName host = work.chosen().name();
        if (work.stage() == Stage.CHOSEN) {
            int connection = simulation.countReboots(host);
            if (simulation.mutation == MoveSimulation.Mutation.SENDS_WITHOUT_A_CHECK
                    || viewLeases.mayPlace(work.chosen())) {
                workItems.add(new WorkItem(work.chosen(), Stage.CHECKED, connection));
            }
        } else if (work.stage() == Stage.CHECKED) {
            boolean isConnectionOpen =
                    work.connection() == simulation.countReboots(host) && simulation.canReach(this, host);
            if (isConnectionOpen) {
                MoveOracle.checkWorkArrival(
                        simulation.committedState(), host, work.chosen().pool());
                workItems.add(new WorkItem(work.chosen(), Stage.SENT, work.connection()));
            }
        }
    }

    /** Returns the number of unfinished work items. */
    int countWorkItems() {
        return workItems.size();
    }

    void finishWork() {
        workItems.clear();
    }

    void kill() {
        isAlive = false;
        workItems.clear();
    }

    List<PoolName> findRunningPools(HostName host) {
        return workItems.stream()
                .filter(work -> work.chosen().name().equals(host) && work.stage() == Stage.SENT)
                .map(work -> work.chosen().pool())
                .toList();
    }

    private boolean areSponsoredProcessesIdle(FleetCommand.HostMove move) {
        return sponsorService.areSponsoredProcessesIdle(move);
    }

    private void foldTo(long offset) {
        for (CommandEnvelope envelope : List.copyOf(simulation.recordsFrom(state.offset() + 1))) {
            if (state.offset() >= offset) {
                return;
            }
            state = SharedStateFold.apply(state, state.offset() + 1, Optional.of(envelope))
                    .state();
            Optional.ofNullable(pendingOutcomes.remove(envelope.identifier()))
                    .ifPresent(outcome -> outcome.complete(""));
        }
    }

    private CompletableFuture<?> submit(Command command) {
        if (isLogUnreachable) {
            return CompletableFuture.failedFuture(createUnavailableException());
        }
        CompletableFuture<Object> outcome = new CompletableFuture<>();
        pendingOutcomes.put(simulation.append(self.process(), command), outcome);
        timers.after(Duration.ofSeconds(5), () -> outcome.completeExceptionally(createUnavailableException()));
        return outcome;
    }

    private Optional<ViewLease> findLogLease(long offset) {
        boolean isNeverExpiring = simulation.mutation == MoveSimulation.Mutation.LEASES_NEVER_LAPSE;
        return isNeverExpiring ? Optional.of(new ViewLease(timers.nanoTime(), 0)) : trackingLog.findLease(offset);
    }

    private CompletableFuture<PeerObservation> probe(PeerIdentity peer) {
        return CompletableFuture.completedFuture(observe(findProcess(peer.process())));
    }

    private PeerObservation observe(MoveSimulationProcess peer) {
        if (!simulation.areConnected(this, peer)) {
            return simulation.mutation == MoveSimulation.Mutation.SILENCE_COUNTS_AS_END
                    ? PeerObservation.ENDED
                    : PeerObservation.CUT_OFF;
        }
        if (!peer.isAlive) {
            return PeerObservation.ENDED;
        }
        return peer.isPaused ? PeerObservation.SILENT : PeerObservation.REACHABLE;
    }

    private MoveSimulationProcess findProcess(ProcessIdentifier process) {
        return simulation.processes.stream()
                .filter(other -> other.identifier().equals(process))
                .findFirst()
                .orElseThrow();
    }

    private static CicadaleadException createUnavailableException() {
        return new CicadaleadException(ErrorKind.PLATFORM_UNAVAILABLE, "cut off");
    }

    @Override
    public int countInFlight(HostName host) {
        if (simulation.mutation == MoveSimulation.Mutation.ACKNOWLEDGES_WITH_WORK_IN_FLIGHT) {
            return 0;
        }
        return (int) workItems.stream()
                .filter(work -> work.chosen().name().equals(host))
                .count();
    }

    /** Does nothing, because idle connections carry no work in this simulation. */
    @Override
    public void closeConnections(HostName host) {}

    @Override
    public long append(byte[] payload) {
        throw createUnavailableException();
    }

    @Override
    public LogBatch read(long fromOffset, int maximumRecords, Duration maximumWait) {
        return new LogBatch(1, simulation.committedState().offset() + 1, List.of());
    }

    @Override
    public void registerHandler(PeerTopic topic, CallHandler handler) {
        handlers.put(topic, handler);
    }

    @Override
    public CompletableFuture<byte[]> call(ProcessIdentifier peer, PeerTopic topic, byte[] payload, Duration timeout) {
        CompletableFuture<byte[]> result = new CompletableFuture<>();
        MoveSimulationProcess target = findProcess(peer);
        simulation.send(() -> {
            if (!target.isRunning() || !simulation.areConnected(this, target)) {
                result.completeExceptionally(new CicadaleadException(ErrorKind.OUTCOME_UNKNOWN, "lost"));
                return;
            }
            target.handlers
                    .get(topic)
                    .handle(self.process(), payload)
                    .whenComplete(
                            (reply, failure) -> simulation.send(() -> completeCall(target, result, reply, failure)));
        });
        return result;
    }

    private void completeCall(
            MoveSimulationProcess from, CompletableFuture<byte[]> result, byte[] reply, Throwable failure) {
        if (failure == null && isRunning() && simulation.areConnected(this, from)) {
            result.complete(reply);
        } else {
            result.completeExceptionally(new CicadaleadException(ErrorKind.OUTCOME_UNKNOWN, "lost"));
        }
    }

    @Override
    public void addHeartbeatPart(PeerTopic topic, Supplier<byte[]> part) {
        throw new UnsupportedOperationException("not used in this simulation");
    }

    @Override
    public Optional<byte[]> findNewestPart(ProcessIdentifier peer, PeerTopic topic) {
        return Optional.empty();
    }

    @Override
    public List<PeerStatus> peers() {
        return simulation.processes.stream()
                .filter(other -> other != this)
                .map(other -> new PeerStatus(
                        other.identifier(),
                        other.zone(),
                        other.state.offset(),
                        other.isRunning() && simulation.areConnected(this, other)))
                .toList();
    }

    private enum Stage {
        CHOSEN,
        CHECKED,
        SENT
    }

    private record WorkItem(HostState chosen, Stage stage, int connection) {}
}
