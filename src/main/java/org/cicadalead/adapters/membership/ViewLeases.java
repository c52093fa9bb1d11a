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
 * The view leases of this process, and those that it grants on its own availability zone's hosts. While the log is in
 * reach its answers are lease enough and nothing is asked of peers. Safe for use by several threads.
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

    /** Creates leases; {@link #start} starts asking for them. */
    ViewLeases(
            PeerIdentity self,
            Supplier<SharedState> state,
            PeerChannel channel,
            TimerService timers,
            LongFunction<Optional<ViewLease>> logLease,
            BooleanSupplier sponsored) {
        this.self = self;
        this.state = state;
        this.channel = channel;
        this.timers = timers;
        this.logLease = logLease;
        this.isSponsored = sponsored;
    }

    void start() {
        channel.registerHandler(PeerTopic.VIEW_LEASE, (caller, payload) -> grantLease());
        subscriptions.add(timers.every(PERIOD, this::renewLeases));
    }

    /** Grants no leases any more; to be called before the process leaves. */
    void stopGranting() {
        isGranting = false;
    }

    @Override
    public boolean mayPlace(HostState chosen) {
        return findRefusal(chosen).isEmpty();
    }

    /** Tells why work may not be sent to a host now; empty when it may. */
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

    /** Tells the newest offset at which a host of this availability zone changed, as this member has folded it. */
    private CompletableFuture<byte[]> grantLease() {
        SharedState current = state.get();
        if (!isGranting || !current.members().containsKey(self.process())) {
            return CompletableFuture.failedFuture(
                    new CicadaleadException(ErrorKind.NOT_READY, "This process grants no view leases"));
        }
        long newest = current.hosts().values().stream()
                .filter(host -> isInOwnZone(current, host))
                .mapToLong(HostState::version)
                .max()
                .orElse(0);
        return CompletableFuture.completedFuture(
                ByteBuffer.allocate(Long.BYTES).putLong(newest).array());
    }

    private boolean isInOwnZone(SharedState current, HostState host) {
        HostDefinition definition = current.configuration().merged().hosts().get(host.name());
        return definition != null && definition.zone().equals(self.zone());
    }

    private void renewLeases() {
        long now = timers.nanoTime();
        SharedState current = state.get();
        boolean quiet = logLease.apply(current.offset())
                .map(lease -> now - lease.requestedAtNanoseconds() > LOG_UNREACHABLE_AFTER.toNanos())
                .orElse(true);
        if (!quiet) {
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
                .thenAccept(answer -> storeLease(zone, now, answer));
    }

    private void storeLease(ZoneName zone, long askedAt, byte[] answer) {
        if (answer.length != Long.BYTES) {
            return;
        }
        ViewLease lease = new ViewLease(askedAt, ByteBuffer.wrap(answer).getLong());
        zoneLeases.merge(zone, lease, (before, after) -> {
            boolean newer = after.requestedAtNanoseconds() - before.requestedAtNanoseconds() > 0;
            return newer ? after : before;
        });
    }
}
