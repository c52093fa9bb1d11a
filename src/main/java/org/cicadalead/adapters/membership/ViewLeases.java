package org.cicadalead.adapters.membership;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.cicadalead.adapters.peer.PeerIdentity;
import org.cicadalead.logic.membership.PlacementRule;
import org.cicadalead.logic.membership.ViewLease;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.PeerChannel;
import org.cicadalead.ports.PeerTopic;
import org.cicadalead.ports.PlacementView;
import org.cicadalead.ports.TimerService;

/**
 * Holds the view leases of this process, and grants leases on the hosts of its own availability zone to other
 * processes. While the log is reachable, contact with it is a sufficient lease and no peer is asked for one. Safe for
 * use by several threads.
 */
public final class ViewLeases implements PlacementView, AutoCloseable {
    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final Duration LOG_UNREACHABLE_AFTER = Duration.ofSeconds(4);
    private static final Duration GRANT_TIMEOUT = Duration.ofSeconds(2);

    private final PeerIdentity self;
    private final Supplier<SharedState> state;
    private final PeerChannel channel;
    private final TimerService timers;
    private final LongFunction<Optional<ViewLease>> logLease;
    private final BooleanSupplier isSponsored;
    private final Map<ZoneName, ViewLease> zoneLeases = new ConcurrentHashMap<>();
    private final List<TimerService.Subscription> subscriptions = new CopyOnWriteArrayList<>();
    private volatile boolean isGranting = true;
    private int grantorCursor;

    /** Creates an instance without leases. It requests leases only after {@link #start}. */
    ViewLeases(
            PeerIdentity self,
            Supplier<SharedState> state,
            PeerChannel channel,
            TimerService timers,
            LongFunction<Optional<ViewLease>> logLease,
            BooleanSupplier isSponsored) {
        this.self = self;
        this.state = state;
        this.channel = channel;
        this.timers = timers;
        this.logLease = logLease;
        this.isSponsored = isSponsored;
    }

    void start() {
        channel.registerHandler(PeerTopic.VIEW_LEASE, (caller, payload) -> grantLease());
        subscriptions.add(timers.every(PERIOD, this::renewLeases));
    }

    /** Stops granting leases. Call this before the process leaves. */
    void stopGranting() {
        isGranting = false;
    }

    @Override
    public boolean mayPlace(HostState chosen) {
        return findRefusal(chosen).isEmpty();
    }

    /** Returns why work may not be sent to a host now, or empty if it may. */
    public Optional<PlacementRule.Refusal> findRefusal(HostState chosen) {
        SharedState current = state.get();
        Optional<ViewLease> zoneLease = Optional.ofNullable(
                        current.configuration().merged().hosts().get(chosen.name()))
                .map(HostDefinition::zone)
                .map(zoneLeases::get);
        PlacementRule.PlacementContext view = new PlacementRule.PlacementContext(
                self.process(),
                self.zone(),
                isSponsored.getAsBoolean(),
                logLease.apply(current.offset()),
                zoneLease,
                timers.nanoTime());
        return PlacementRule.findRefusal(current, chosen, view);
    }

    @Override
    public void close() {
        subscriptions.forEach(TimerService.Subscription::close);
    }

    /**
     * Replies with the newest offset at which a host of this availability zone changed, according to the state that
     * this member has folded.
     */
    private CompletableFuture<byte[]> grantLease() {
        SharedState current = state.get();
        if (!isGranting || !current.members().containsKey(self.process())) {
            return CompletableFuture.failedFuture(
                    new CicadaleadException(ErrorKind.NOT_READY, "This process grants no view leases"));
        }
        long newestOffset = current.hosts().values().stream()
                .filter(host -> isInOwnZone(current, host))
                .mapToLong(HostState::version)
                .max()
                .orElse(0);
        return CompletableFuture.completedFuture(
                ByteBuffer.allocate(Long.BYTES).putLong(newestOffset).array());
    }

    private boolean isInOwnZone(SharedState current, HostState host) {
        HostDefinition definition = current.configuration().merged().hosts().get(host.name());
        return definition != null && definition.zone().equals(self.zone());
    }

    private void renewLeases() {
        long now = timers.nanoTime();
        SharedState current = state.get();
        boolean isLogUnreachable = logLease.apply(current.offset())
                .map(lease -> now - lease.requestedAtNanoseconds() > LOG_UNREACHABLE_AFTER.toNanos())
                .orElse(true);
        if (!isLogUnreachable) {
            return;
        }
        channel.peers().stream()
                .map(PeerChannel.PeerStatus::zone)
                .distinct()
                .filter(zone -> !zone.equals(self.zone()))
                .forEach(zone -> requestLease(zone, now));
    }

    private void requestLease(ZoneName zone, long now) {
        List<ProcessIdentifier> grantors = channel.peers().stream()
                .filter(peer -> peer.zone().equals(zone) && peer.reachable())
                .map(PeerChannel.PeerStatus::process)
                .toList();
        if (grantors.isEmpty()) {
            return;
        }
        ProcessIdentifier grantor = grantors.get(Math.floorMod(grantorCursor++, grantors.size()));
        channel.call(grantor, PeerTopic.VIEW_LEASE, new byte[0], GRANT_TIMEOUT)
                .thenAccept(reply -> storeLease(zone, now, reply));
    }

    private void storeLease(ZoneName zone, long requestedAt, byte[] reply) {
        if (reply.length != Long.BYTES) {
            return;
        }
        ViewLease lease = new ViewLease(requestedAt, ByteBuffer.wrap(reply).getLong());
        zoneLeases.merge(zone, lease, (previous, next) -> {
            boolean isNewer = next.requestedAtNanoseconds() - previous.requestedAtNanoseconds() > 0;
            return isNewer ? next : previous;
        });
    }
}
