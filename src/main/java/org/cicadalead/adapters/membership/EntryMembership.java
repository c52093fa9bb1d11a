package org.cicadalead.adapters.membership;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cicadalead.adapters.administration.AdministrationServer;
import org.cicadalead.adapters.http.HttpServers;
import org.cicadalead.adapters.peer.PeerChannelOptions;
import org.cicadalead.adapters.peer.PeerCounters;
import org.cicadalead.adapters.peer.TcpPeerChannel;
import org.cicadalead.adapters.replica.CommandAppender;
import org.cicadalead.adapters.replica.SharedStateReplica;
import org.cicadalead.adapters.security.SharedKeys;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.settings.EntrySettings;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.EventSink;
import org.cicadalead.ports.HostMaintenance;
import org.cicadalead.ports.PeerChannel;
import org.cicadalead.ports.PlacementControl;
import org.cicadalead.ports.PlacementView;
import org.cicadalead.ports.TimerService;

/**
 * All that makes an entry process one of many: the channel to the others, its membership, its view leases and its share
 * of moves. Safe for use by several threads.
 */
public final class EntryMembership implements AutoCloseable {
    private static final Duration SUBMIT_TIMEOUT = Duration.ofSeconds(5);

    private final ProcessIdentifier process;
    private final Supplier<SharedState> state;
    private final CommandAppender appender;
    private final ExecutorService platformThreads = HttpServers.createDaemonExecutor("membership-platform");
    private final TcpPeerChannel channel;
    private final MembershipService membership;
    private final ViewLeases leases;
    private final MemberWatch watch;
    private final MoveLoop moves;
    private final SponsorService sponsors;

    /** Binds the peer address; {@link #start} starts joining. */
    public EntryMembership(
            EntrySettings settings,
            ProcessIdentifier process,
            SharedStateReplica replica,
            CommandAppender appender,
            ContactTrackingLog log,
            Supplier<SharedKeys> keys,
            TimerService timers,
            EventSink events) {
        this.process = process;
        this.state = replica::state;
        this.appender = appender;
        channel = new TcpPeerChannel(
                new PeerChannelOptions(
                        process,
                        settings.zone(),
                        settings.peerAddress(),
                        settings.peers(),
                        () -> state.get().members().values(),
                        () -> state.get().offset(),
                        keys),
                timers,
                events);
        membership = new MembershipService(channel.self(), state, this::submit, timers, events);
        watch = new MemberWatch(process, state, channel, channel::probe, this::submit, timers, events);
        moves = new MoveLoop(process, state, this::submit, watch::cutOff, this::covers, timers, events);
        sponsors = new SponsorService(
                new SponsorService.Ports(channel.self(), state, channel, this::submit, log::leaseFor, timers, events),
                moves::quietMoves,
                watch::hasEnded);
        watch.watchAlso(sponsors::sponsored);
        leases = new ViewLeases(channel.self(), state, channel, timers, log::leaseFor, sponsors::isSponsored);
        replica.addListener(new MoveEvents(process, events));
    }

    /** Refuses settings without keys that would let other hosts in. */
    public static void requireKeysBeyondLoopback(EntrySettings settings, SharedKeys keys) {
        if (!keys.isEmpty()) {
            return;
        }
        for (EntrySettings.BindAddress address : List.of(settings.peerAddress(), settings.administrationAddress())) {
            if (!isLoopback(address.address())) {
                throw new CicadaleadException(
                        ErrorKind.INVALID_SETTINGS,
                        "The address " + address.address()
                                + " can be reached by other hosts, so that 'key-file' must name a file with a shared"
                                + " key; without one only a loopback address is allowed");
            }
        }
    }

    private static boolean isLoopback(String address) {
        try {
            return InetAddress.getByName(address).isLoopbackAddress();
        } catch (UnknownHostException malformed) {
            throw new CicadaleadException(ErrorKind.INVALID_SETTINGS, "'" + address + "' is no IP number", malformed);
        }
    }

    /** Starts talking to the others and joins. */
    public void start() {
        channel.start();
        membership.start();
        leases.start();
        watch.start();
        sponsors.start();
        moves.start();
    }

    /** Returns the channel to the other entry processes. */
    public PeerChannel channel() {
        return channel;
    }

    /** Returns whether work may be placed on a host now. */
    public PlacementView view() {
        return leases;
    }

    /** Adds a part of the process that places work; a move is acknowledged when none has work in flight on the host. */
    public void addPlacements(PlacementControl control) {
        moves.addControl(control);
    }

    /** Sets how hosts are rebooted, which a move needs that does not wait for a member that is cut off. */
    public void useMaintenance(HostMaintenance maintenance) {
        moves.useReboots(move -> CompletableFuture.supplyAsync(
                () -> {
                    maintenance.reboot(move.host(), move.moveVersion());
                    return maintenance.condition(move.host()).hasFinished(move.moveVersion());
                },
                platformThreads));
    }

    /** Tells whether this process may serve: its shared state holds its own membership, or a member vouches for it. */
    public boolean mayServe() {
        return membership.isMember() || sponsors.isSponsored();
    }

    /** Returns members and moves as this process sees them. */
    public MembershipStatus status() {
        SharedState current = state.get();
        List<MembershipStatus.MemberView> members =
                StatusReporter.members(current, process, channel.peers(), watch::history);
        TreeSet<ZoneName> zones = new TreeSet<>(channel.reachableZones());
        zones.add(channel.self().zone());
        return new MembershipStatus(
                membership.isMember(),
                sponsors.sponsor().map(ProcessIdentifier::value).orElse(""),
                members,
                List.copyOf(zones),
                StatusReporter.blocked(current, members));
    }

    /** Adds the operators' routes on moves and members. */
    public void addTo(AdministrationServer administration) {
        new MembershipRoutes(state, this::status, appender).addTo(administration);
    }

    /** Registers the metrics of the channel. */
    public void register(MeterRegistry metrics) {
        PeerCounters counters = channel.counters();
        Gauge.builder("cicadalead.peers.connections", channel::connectionCount).register(metrics);
        FunctionCounter.builder("cicadalead.peers.sent.bytes", counters, PeerCounters::bytesSent)
                .register(metrics);
        FunctionCounter.builder("cicadalead.peers.received.bytes", counters, PeerCounters::bytesReceived)
                .register(metrics);
        FunctionCounter.builder("cicadalead.peers.rejected.frames", counters, PeerCounters::framesRejected)
                .register(metrics);
        FunctionCounter.builder("cicadalead.peers.failed.parts", counters, PeerCounters::failedParts)
                .register(metrics);
        FunctionCounter.builder(
                        "cicadalead.peers.authentication.failures", counters, PeerCounters::authenticationFailures)
                .register(metrics);
    }

    /** Leaves; to be called when nothing that this process placed is in flight, and before {@link #close}. */
    public void leave() {
        leases.stopGranting();
        if (sponsors.prepareLeave()) {
            membership.leave();
        }
    }

    @Override
    public void close() {
        sponsors.close();
        moves.close();
        watch.close();
        leases.close();
        membership.close();
        channel.close();
        platformThreads.shutdownNow();
    }

    private boolean covers(FleetCommand.HostMove move) {
        return sponsors.covers(move);
    }

    private CompletableFuture<?> submit(Command command) {
        return appender.submit(command).orTimeout(SUBMIT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }
}
