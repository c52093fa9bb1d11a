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
 * Connects an entry process with the other entry processes: owns the peer channel, the membership, the view leases and
 * the moves of this process. Safe for use by several threads.
 */
public final class EntryMembership implements AutoCloseable {
    private static final Duration SUBMIT_TIMEOUT = Duration.ofSeconds(5);

    private final ProcessIdentifier process;
    private final Supplier<SharedState> state;
    private final CommandAppender appender;
    private final ExecutorService platformExecutor = HttpServers.createDaemonExecutor("membership-platform");
    private final TcpPeerChannel channel;
    private final MembershipService membership;
    private final ViewLeases viewLeases;
    private final MemberStatusMonitor memberMonitor;
    private final MoveLoop moveLoop;
    private final SponsorService sponsorService;

    /** Binds the peer address. The process joins only after {@link #start}. */
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
        memberMonitor = new MemberStatusMonitor(process, state, channel, channel::probe, this::submit, timers, events);
        moveLoop = new MoveLoop(
                process,
                state,
                this::submit,
                memberMonitor::findCutOffMembers,
                this::areSponsoredProcessesIdle,
                timers,
                events);
        sponsorService = new SponsorService(
                new SponsorService.Dependencies(
                        channel.self(), state, channel, this::submit, log::findLease, timers, events),
                moveLoop::closeConnectionsAndFindIdleMoves,
                memberMonitor::hasEnded);
        memberMonitor.setAdditionalPeers(sponsorService::sponsoredProcesses);
        viewLeases =
                new ViewLeases(channel.self(), state, channel, timers, log::findLease, sponsorService::isSponsored);
        replica.addListener(new MoveEventReporter(process, events));
    }

    /** Rejects settings that make an address reachable from other hosts without any shared key. */
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

    /** Starts communicating with the other processes and joins. */
    public void start() {
        channel.start();
        membership.start();
        viewLeases.start();
        memberMonitor.start();
        sponsorService.start();
        moveLoop.start();
    }

    /** Returns the channel to the other entry processes. */
    public PeerChannel channel() {
        return channel;
    }

    /** Returns the view that decides whether work may be placed on a host. */
    public PlacementView placementView() {
        return viewLeases;
    }

    /** Adds a component that places work. A move is acknowledged when no component has work in flight on the host. */
    public void addPlacementControl(PlacementControl control) {
        moveLoop.addPlacementControl(control);
    }

    /**
     * Sets the maintenance that reboots hosts. A move needs a reboot if it does not wait for a member that is cut off.
     */
    public void setMaintenance(HostMaintenance maintenance) {
        moveLoop.setRebooter(move -> CompletableFuture.supplyAsync(
                () -> {
                    maintenance.reboot(move.host(), move.moveVersion());
                    return maintenance.condition(move.host()).hasFinished(move.moveVersion());
                },
                platformExecutor));
    }

    /** Returns whether this process may serve: its shared state contains it as a member, or a member sponsors it. */
    public boolean canServe() {
        return membership.isMember() || sponsorService.isSponsored();
    }

    /** Returns the members and moves as this process sees them. */
    public MembershipStatus status() {
        SharedState current = state.get();
        List<MembershipStatus.MemberView> members =
                StatusReporter.describeMembers(current, process, channel.peers(), memberMonitor::findHistory);
        TreeSet<ZoneName> zones = new TreeSet<>(channel.reachableZones());
        zones.add(channel.self().zone());
        return new MembershipStatus(
                membership.isMember(),
                sponsorService.findSponsor().map(ProcessIdentifier::value).orElse(""),
                members,
                List.copyOf(zones),
                StatusReporter.describeBlockedMoves(current, members));
    }

    /** Adds the operators' routes for moves and members. */
    public void addTo(AdministrationServer administration) {
        new MembershipRoutes(state, this::status, appender).addTo(administration);
    }

    /** Registers the metrics of the channel. */
    public void registerMetrics(MeterRegistry metrics) {
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

    /**
     * Leaves the membership. Call this when no work that this process placed is in flight, and before {@link #close}.
     */
    public void leave() {
        viewLeases.stopGranting();
        if (sponsorService.prepareLeave()) {
            membership.leave();
        }
    }

    @Override
    public void close() {
        sponsorService.close();
        moveLoop.close();
        memberMonitor.close();
        viewLeases.close();
        membership.close();
        channel.close();
        platformExecutor.shutdownNow();
    }

    private boolean areSponsoredProcessesIdle(FleetCommand.HostMove move) {
        return sponsorService.areSponsoredProcessesIdle(move);
    }

    private CompletableFuture<?> submit(Command command) {
        return appender.submit(command).orTimeout(SUBMIT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }
}
