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
import org.cicadalead.logic.membership.PeerEvidence;
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

/** One process of a {@link MoveWorld}: the real services of membership and moves on fakes of the ports. */
final class WorldProcess implements PeerChannel, PlatformLog, PlacementControl {
    private static final EventSink NO_EVENTS = (kind, cause, details) -> {};

    boolean alive = true;
    boolean paused;
    boolean logCut;
    private final MoveWorld world;
    private final PeerIdentity self;
    private final WorldTimers timers;
    private final ContactTrackingLog contacts;
    private final Map<PeerTopic, CallHandler> handlers = new HashMap<>();
    private final Map<CommandIdentifier, CompletableFuture<Object>> pending = new HashMap<>();
    private final List<Work> works = new ArrayList<>();
    private final MembershipService membership;
    private final ViewLeases leases;
    private final MemberWatch watch;
    private final MoveLoop moves;
    private final SponsorService sponsors;
    private SharedState state = SharedState.empty();

    WorldProcess(MoveWorld world, int number, ZoneName zone) {
        this.world = world;
        self = new PeerIdentity(
                new ProcessIdentifier("process-" + (100 + number)),
                zone,
                new NetworkAddress("127.0.0.1", 2000 + number));
        double rate = 0.96 + 0.02 * (number % 5);
        timers = new WorldTimers(() -> (long) (world.nowNanoseconds() * rate));
        contacts = new ContactTrackingLog(this, timers);
        membership = new MembershipService(self, () -> state, this::submit, timers, NO_EVENTS);
        watch = new MemberWatch(self.process(), () -> state, this, this::probe, this::submit, timers, NO_EVENTS);
        moves = new MoveLoop(self.process(), () -> state, this::submit, watch::cutOff, this::covers, timers, NO_EVENTS);
        sponsors = new SponsorService(
                new SponsorService.Ports(self, () -> state, this, this::submit, contacts::leaseFor, timers, NO_EVENTS),
                moves::quietMoves,
                watch::hasEnded);
        watch.watchAlso(sponsors::sponsored);
        leases = new ViewLeases(self, () -> state, this, timers, this::logLease, sponsors::isSponsored);
        moves.addControl(this);
        moves.useReboots(move -> world.reboot(move.host()));
    }

    void start() {
        membership.start();
        leases.start();
        watch.start();
        moves.start();
        sponsors.start();
    }

    boolean isSponsored() {
        return sponsors.isSponsored();
    }

    ProcessIdentifier identifier() {
        return self.process();
    }

    ZoneName zone() {
        return self.zone();
    }

    boolean runs() {
        return alive && !paused;
    }

    /** Reads the log and calls back what is due. */
    void run() {
        if (!runs()) {
            return;
        }
        if (!logCut) {
            contacts.read(state.offset() + 1, Integer.MAX_VALUE, Duration.ZERO);
            foldTo(world.truth().offset());
        }
        timers.runDue();
    }

    /** Takes over the records that a peer has. */
    void relayFrom(WorldProcess peer) {
        if (runs() && peer.runs() && world.connected(this, peer)) {
            foldTo(peer.state.offset());
        }
    }

    /** Chooses a host for a piece of work, as the newest state of this process shows it. */
    void choose(PoolName pool, int index) {
        if (!runs()) {
            return;
        }
        List<HostState> candidates = state.hosts().values().stream()
                .filter(host -> host.pool().equals(pool) && host.isAvailable())
                .toList();
        if (!candidates.isEmpty()) {
            HostState host = candidates.get(Math.floorMod(index, candidates.size()));
            works.add(new Work(host, Stage.CHOSEN, 0));
        }
    }

    /** Takes one piece of work a stage further. */
    void proceed(int index) {
        if (!runs() || works.isEmpty()) {
            return;
        }
        Work work = works.remove(Math.floorMod(index, works.size()));
        HostName host = work.chosen().name();
        if (work.stage() == Stage.CHOSEN) {
            int connection = world.rebootsOf(host);
            if (world.mutation == MoveWorld.Mutation.SENDS_WITHOUT_A_CHECK || leases.mayPlace(work.chosen())) {
                works.add(new Work(work.chosen(), Stage.CHECKED, connection));
            }
        } else if (work.stage() == Stage.CHECKED) {
            boolean open = work.connection() == world.rebootsOf(host) && world.reaches(this, host);
            if (open) {
                MoveOracle.workArrives(world.truth(), host, work.chosen().pool());
                works.add(new Work(work.chosen(), Stage.SENT, work.connection()));
            }
        }
    }

    /** Returns the number of pieces of work that are not over. */
    int workCount() {
        return works.size();
    }

    void finishWork() {
        works.clear();
    }

    void kill() {
        alive = false;
        works.clear();
    }

    List<PoolName> running(HostName host) {
        return works.stream()
                .filter(work -> work.chosen().name().equals(host) && work.stage() == Stage.SENT)
                .map(work -> work.chosen().pool())
                .toList();
    }

    private boolean covers(FleetCommand.HostMove move) {
        return sponsors.covers(move);
    }

    private void foldTo(long offset) {
        for (CommandEnvelope envelope : List.copyOf(world.recordsFrom(state.offset() + 1))) {
            if (state.offset() >= offset) {
                return;
            }
            state = SharedStateFold.apply(state, state.offset() + 1, Optional.of(envelope))
                    .state();
            Optional.ofNullable(pending.remove(envelope.identifier())).ifPresent(waiting -> waiting.complete(""));
        }
    }

    private CompletableFuture<?> submit(Command command) {
        if (logCut) {
            return CompletableFuture.failedFuture(unavailable());
        }
        CompletableFuture<Object> outcome = new CompletableFuture<>();
        pending.put(world.append(self.process(), command), outcome);
        timers.after(Duration.ofSeconds(5), () -> outcome.completeExceptionally(unavailable()));
        return outcome;
    }

    private Optional<ViewLease> logLease(long offset) {
        boolean eternal = world.mutation == MoveWorld.Mutation.LEASES_NEVER_LAPSE;
        return eternal ? Optional.of(new ViewLease(timers.nanoTime(), 0)) : contacts.leaseFor(offset);
    }

    private CompletableFuture<PeerEvidence> probe(PeerIdentity peer) {
        return CompletableFuture.completedFuture(evidence(find(peer.process())));
    }

    private PeerEvidence evidence(WorldProcess peer) {
        if (!world.connected(this, peer)) {
            return world.mutation == MoveWorld.Mutation.SILENCE_COUNTS_AS_END
                    ? PeerEvidence.ENDED
                    : PeerEvidence.CUT_OFF;
        }
        if (!peer.alive) {
            return PeerEvidence.ENDED;
        }
        return peer.paused ? PeerEvidence.SILENT : PeerEvidence.REACHABLE;
    }

    private WorldProcess find(ProcessIdentifier process) {
        return world.processes.stream()
                .filter(other -> other.identifier().equals(process))
                .findFirst()
                .orElseThrow();
    }

    private static CicadaleadException unavailable() {
        return new CicadaleadException(ErrorKind.PLATFORM_UNAVAILABLE, "cut off");
    }

    @Override
    public int countInFlight(HostName host) {
        if (world.mutation == MoveWorld.Mutation.ACKNOWLEDGES_WITH_WORK_IN_FLIGHT) {
            return 0;
        }
        return (int)
                works.stream().filter(work -> work.chosen().name().equals(host)).count();
    }

    /** Idle connections carry nothing in this world. */
    @Override
    public void closeConnections(HostName host) {}

    @Override
    public long append(byte[] payload) {
        throw unavailable();
    }

    @Override
    public LogBatch read(long fromOffset, int maximumRecords, Duration maximumWait) {
        return new LogBatch(1, world.truth().offset() + 1, List.of());
    }

    @Override
    public void registerHandler(PeerTopic topic, CallHandler handler) {
        handlers.put(topic, handler);
    }

    @Override
    public CompletableFuture<byte[]> call(ProcessIdentifier peer, PeerTopic topic, byte[] payload, Duration timeout) {
        CompletableFuture<byte[]> result = new CompletableFuture<>();
        WorldProcess target = find(peer);
        world.send(() -> {
            if (!target.runs() || !world.connected(this, target)) {
                result.completeExceptionally(new CicadaleadException(ErrorKind.OUTCOME_UNKNOWN, "lost"));
                return;
            }
            target.handlers
                    .get(topic)
                    .handle(self.process(), payload)
                    .whenComplete((answer, failure) -> world.send(() -> arrive(target, result, answer, failure)));
        });
        return result;
    }

    private void arrive(WorldProcess from, CompletableFuture<byte[]> result, byte[] answer, Throwable failure) {
        if (failure == null && runs() && world.connected(this, from)) {
            result.complete(answer);
        } else {
            result.completeExceptionally(new CicadaleadException(ErrorKind.OUTCOME_UNKNOWN, "lost"));
        }
    }

    @Override
    public void addHeartbeatPart(PeerTopic topic, Supplier<byte[]> part) {
        throw new UnsupportedOperationException("not used here");
    }

    @Override
    public Optional<byte[]> newestPart(ProcessIdentifier peer, PeerTopic topic) {
        return Optional.empty();
    }

    @Override
    public List<PeerStatus> peers() {
        return world.processes.stream()
                .filter(other -> other != this)
                .map(other -> new PeerStatus(
                        other.identifier(),
                        other.zone(),
                        other.state.offset(),
                        other.runs() && world.connected(this, other)))
                .toList();
    }

    private enum Stage {
        CHOSEN,
        CHECKED,
        SENT
    }

    private record Work(HostState chosen, Stage stage, int connection) {}
}
