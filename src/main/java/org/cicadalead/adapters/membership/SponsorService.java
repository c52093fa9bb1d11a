package org.cicadalead.adapters.membership;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.cicadalead.adapters.codec.MessagePackMessageCodec;
import org.cicadalead.adapters.peer.PeerIdentity;
import org.cicadalead.logic.membership.ViewLease;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.FleetCommand.HostMove;
import org.cicadalead.model.command.MembershipCommand;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.Member;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.EventSink;
import org.cicadalead.ports.PeerChannel;
import org.cicadalead.ports.PeerTopic;
import org.cicadalead.ports.TimerService;

/**
 * Lets a process serve before its join is in the log, sponsored by a member, while the platform log is unreachable. The
 * sponsor acknowledges no withdrawal before the sponsored process has reported that it has nothing in flight on the
 * host; the sponsored process places work only while a sponsor has replied within the duration of a lease. Once the log
 * is reachable, whichever of the two reaches it first appends the join, and the sponsor continues to cover the
 * withdrawals that are older than the join. Safe for use by several threads.
 */
final class SponsorService implements AutoCloseable {
    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final Duration LOG_UNREACHABLE_AFTER = Duration.ofSeconds(4);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

    private final MessagePackMessageCodec messages = new MessagePackMessageCodec();
    private final PeerIdentity self;
    private final Supplier<SharedState> state;
    private final PeerChannel channel;
    private final TimerService timers;
    private final EventSink events;
    private final Function<Command, CompletableFuture<?>> submit;
    private final LongFunction<Optional<ViewLease>> logLease;
    private final Supplier<List<HostMove>> idleMoves;
    private final Predicate<ProcessIdentifier> hasEnded;
    private final Map<ProcessIdentifier, ViewLease> sponsorLeases = new ConcurrentHashMap<>();
    private final Map<ProcessIdentifier, Report> sponsoredReports = new ConcurrentHashMap<>();
    private final Set<ProcessIdentifier> joinsInFlight = ConcurrentHashMap.newKeySet();
    private final List<TimerService.Subscription> subscriptions = new CopyOnWriteArrayList<>();
    private volatile boolean isLeaving;
    private int candidateCursor;

    SponsorService(
            Dependencies dependencies, Supplier<List<HostMove>> idleMoves, Predicate<ProcessIdentifier> hasEnded) {
        this.self = dependencies.self();
        this.state = dependencies.state();
        this.channel = dependencies.channel();
        this.timers = dependencies.timers();
        this.events = dependencies.events();
        this.submit = dependencies.submit();
        this.logLease = dependencies.logLease();
        this.idleMoves = idleMoves;
        this.hasEnded = hasEnded;
    }

    void start() {
        channel.registerHandler(PeerTopic.SPONSORED_JOIN, (caller, payload) -> onReport(caller, payload));
        subscriptions.add(timers.every(PERIOD, this::tick));
    }

    /** Returns whether a member currently sponsors this process. */
    boolean isSponsored() {
        return findSponsor().isPresent();
    }

    /** Returns a member that currently sponsors this process. */
    Optional<ProcessIdentifier> findSponsor() {
        long now = timers.nanoTime();
        long offset = state.get().offset();
        return sponsorLeases.entrySet().stream()
                .filter(entry -> entry.getValue().covers(offset, now))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /**
     * Returns whether every process that this one sponsors either has nothing in flight on the host of a move, or
     * acknowledges the move itself as a member.
     */
    boolean areSponsoredProcessesIdle(HostMove move) {
        SharedState current = state.get();
        return sponsoredReports.values().stream().allMatch(report -> {
            Member member = current.members().get(report.process());
            boolean isAwaitedItself = member != null && member.version() < move.moveVersion();
            return isAwaitedItself || report.quiet().contains(move);
        });
    }

    /** Returns the processes that this one sponsors. */
    List<PeerIdentity> sponsoredProcesses() {
        return sponsoredReports.values().stream().map(Report::identity).toList();
    }

    /**
     * Stops accepting new processes to sponsor. Returns false while this process still sponsors one and must not leave.
     */
    boolean prepareLeave() {
        isLeaving = true;
        releaseSponsored(state.get());
        return sponsoredReports.isEmpty();
    }

    @Override
    public void close() {
        subscriptions.forEach(TimerService.Subscription::close);
    }

    private void tick() {
        SharedState current = state.get();
        releaseSponsored(current);
        Optional<Member> own = Optional.ofNullable(current.members().get(self.process()));
        boolean mustReport = own.map(member -> hasEarlierMove(current, member)).orElse(true);
        if (!mustReport) {
            sponsorLeases.clear();
            return;
        }
        sponsorLeases.keySet().forEach(this::sendReport);
        if (own.isEmpty() && !isSponsored() && isLogUnreachable(current)) {
            selectNextCandidate(current).ifPresent(this::sendReport);
        }
    }

    private boolean isLogUnreachable(SharedState current) {
        long now = timers.nanoTime();
        return logLease.apply(current.offset())
                .map(lease -> now - lease.requestedAtNanoseconds() > LOG_UNREACHABLE_AFTER.toNanos())
                .orElse(true);
    }

    private Optional<ProcessIdentifier> selectNextCandidate(SharedState current) {
        List<ProcessIdentifier> candidates = channel.peers().stream()
                .filter(peer -> peer.reachable() && peer.zone().equals(self.zone()))
                .map(PeerChannel.PeerStatus::process)
                .filter(current.members()::containsKey)
                .toList();
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(Math.floorMod(candidateCursor++, candidates.size())));
    }

    private void sendReport(ProcessIdentifier sponsor) {
        long requestedAt = timers.nanoTime();
        Report report = new Report(self.process(), self, idleMoves.get());
        channel.call(sponsor, PeerTopic.SPONSORED_JOIN, messages.encode(report), CALL_TIMEOUT)
                .thenAccept(reply -> {
                    if (reply.length == Long.BYTES) {
                        ViewLease lease = new ViewLease(
                                requestedAt, ByteBuffer.wrap(reply).getLong());
                        sponsorLeases.put(sponsor, lease);
                    }
                });
    }

    private CompletableFuture<byte[]> onReport(ProcessIdentifier caller, byte[] payload) {
        SharedState current = state.get();
        Report report = messages.decode(payload, Report.class);
        boolean isAlreadySponsored = sponsoredReports.containsKey(caller);
        boolean canSponsor = !isLeaving
                && current.members().containsKey(self.process())
                && report.identity().zone().equals(self.zone());
        if (!report.process().equals(caller) || !(isAlreadySponsored || canSponsor)) {
            return CompletableFuture.failedFuture(
                    new CicadaleadException(ErrorKind.NOT_READY, "This process vouches for nobody"));
        }
        sponsoredReports.put(caller, report);
        if (!isAlreadySponsored) {
            events.emit(EventKind.JOIN_SPONSORED, Optional.empty(), EventDetail.of("process", caller));
        }
        appendJoin(current, report);
        return CompletableFuture.completedFuture(
                ByteBuffer.allocate(Long.BYTES).putLong(state.get().offset()).array());
    }

    private void appendJoin(SharedState current, Report report) {
        PeerIdentity identity = report.identity();
        if (current.members().containsKey(identity.process())
                || isLogUnreachable(current)
                || !joinsInFlight.add(identity.process())) {
            return;
        }
        submit.apply(new MembershipCommand.Join(
                        identity.process(), identity.zone(), identity.address(), Optional.of(self.process())))
                .whenComplete((outcome, failure) -> joinsInFlight.remove(identity.process()));
    }

    /**
     * Removes processes that need no sponsor any more: those that have ended, and members whose join is older than
     * every unfinished withdrawal.
     */
    private void releaseSponsored(SharedState current) {
        sponsoredReports.keySet().removeIf(process -> {
            Member member = current.members().get(process);
            return member == null ? hasEnded.test(process) : !hasEarlierMove(current, member);
        });
    }

    private static boolean hasEarlierMove(SharedState current, Member member) {
        return current.hosts().values().stream().anyMatch(host -> host.move()
                .filter(move -> move.version() < member.version())
                .isPresent());
    }

    /**
     * The report of a sponsored process to its sponsor.
     *
     * @param process the process
     * @param identity identity of the process
     * @param quiet withdrawals that the process has folded and on whose hosts it has nothing in flight
     */
    record Report(ProcessIdentifier process, PeerIdentity identity, List<HostMove> quiet) {
        /** Copies the list. */
        Report {
            quiet = List.copyOf(quiet);
        }
    }

    /**
     * Dependencies of the service.
     *
     * @param self this process
     * @param state supplies the newest shared state
     * @param channel channel to the other processes
     * @param submit appends a command
     * @param logLease finds the lease obtained by contact with the log for a view at an offset
     * @param timers clock and timers
     * @param events receives the events of the service
     */
    record Dependencies(
            PeerIdentity self,
            Supplier<SharedState> state,
            PeerChannel channel,
            Function<Command, CompletableFuture<?>> submit,
            LongFunction<Optional<ViewLease>> logLease,
            TimerService timers,
            EventSink events) {}
}
