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
 * Joins that a member vouches for while the platform log is out of reach. The sponsor acknowledges no withdrawal before
 * the sponsored process has said that it is quiet on the host; the sponsored process places work only while a sponsor
 * has answered within a lease's time. Once the log is in reach the join is appended, by whoever reaches it first, and
 * the sponsor goes on covering the withdrawals that are older than the join. Safe for use by several threads.
 */
final class SponsorService implements AutoCloseable {
    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final Duration LOG_IS_QUIET_AFTER = Duration.ofSeconds(4);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

    private final MessagePackMessageCodec messages = new MessagePackMessageCodec();
    private final PeerIdentity self;
    private final Supplier<SharedState> state;
    private final PeerChannel channel;
    private final TimerService timers;
    private final EventSink events;
    private final Function<Command, CompletableFuture<?>> submit;
    private final LongFunction<Optional<ViewLease>> logLease;
    private final Supplier<List<HostMove>> quietMoves;
    private final Predicate<ProcessIdentifier> ended;
    private final Map<ProcessIdentifier, ViewLease> sponsors = new ConcurrentHashMap<>();
    private final Map<ProcessIdentifier, Report> covered = new ConcurrentHashMap<>();
    private final Set<ProcessIdentifier> joining = ConcurrentHashMap.newKeySet();
    private final List<TimerService.Subscription> subscriptions = new CopyOnWriteArrayList<>();
    private volatile boolean leaving;
    private int asked;

    SponsorService(Ports ports, Supplier<List<HostMove>> quietMoves, Predicate<ProcessIdentifier> ended) {
        this.self = ports.self();
        this.state = ports.state();
        this.channel = ports.channel();
        this.timers = ports.timers();
        this.events = ports.events();
        this.submit = ports.submit();
        this.logLease = ports.logLease();
        this.quietMoves = quietMoves;
        this.ended = ended;
    }

    void start() {
        channel.registerHandler(PeerTopic.SPONSORED_JOIN, (caller, payload) -> cover(caller, payload));
        subscriptions.add(timers.every(PERIOD, this::tick));
    }

    /** Tells whether a member vouches for this process now. */
    boolean isSponsored() {
        return sponsor().isPresent();
    }

    /** Returns the member that vouches for this process now. */
    Optional<ProcessIdentifier> sponsor() {
        long now = timers.nanoTime();
        long offset = state.get().offset();
        return sponsors.entrySet().stream()
                .filter(entry -> entry.getValue().covers(offset, now))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /** Tells whether every process that this one vouches for is quiet as far as a move is concerned. */
    boolean covers(HostMove move) {
        SharedState current = state.get();
        return covered.values().stream().allMatch(report -> {
            Member member = current.members().get(report.process());
            boolean awaitedItself = member != null && member.version() < move.moveVersion();
            return awaitedItself || report.quiet().contains(move);
        });
    }

    /** Returns the processes that this one vouches for. */
    List<PeerIdentity> sponsored() {
        return covered.values().stream().map(Report::identity).toList();
    }

    /** Vouches for nobody new; false while this process still vouches for one and must not leave. */
    boolean prepareLeave() {
        leaving = true;
        release(state.get());
        return covered.isEmpty();
    }

    @Override
    public void close() {
        subscriptions.forEach(TimerService.Subscription::close);
    }

    private void tick() {
        SharedState current = state.get();
        release(current);
        Optional<Member> own = Optional.ofNullable(current.members().get(self.process()));
        boolean owesReports = own.map(member -> hasOlderMove(current, member)).orElse(true);
        if (!owesReports) {
            sponsors.clear();
            return;
        }
        sponsors.keySet().forEach(this::report);
        if (own.isEmpty() && !isSponsored() && logIsOutOfReach(current)) {
            nextCandidate(current).ifPresent(this::report);
        }
    }

    private boolean logIsOutOfReach(SharedState current) {
        long now = timers.nanoTime();
        return logLease.apply(current.offset())
                .map(lease -> now - lease.askedAtNanoseconds() > LOG_IS_QUIET_AFTER.toNanos())
                .orElse(true);
    }

    private Optional<ProcessIdentifier> nextCandidate(SharedState current) {
        List<ProcessIdentifier> candidates = channel.peers().stream()
                .filter(peer -> peer.reachable() && peer.zone().equals(self.zone()))
                .map(PeerChannel.PeerStatus::process)
                .filter(current.members()::containsKey)
                .toList();
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(Math.floorMod(asked++, candidates.size())));
    }

    private void report(ProcessIdentifier sponsor) {
        long askedAt = timers.nanoTime();
        Report report = new Report(self.process(), self, quietMoves.get());
        channel.call(sponsor, PeerTopic.SPONSORED_JOIN, messages.encode(report), CALL_TIMEOUT)
                .thenAccept(answer -> {
                    if (answer.length == Long.BYTES) {
                        ViewLease lease =
                                new ViewLease(askedAt, ByteBuffer.wrap(answer).getLong());
                        sponsors.put(sponsor, lease);
                    }
                });
    }

    private CompletableFuture<byte[]> cover(ProcessIdentifier caller, byte[] payload) {
        SharedState current = state.get();
        Report report = messages.decode(payload, Report.class);
        boolean known = covered.containsKey(caller);
        boolean willing = !leaving
                && current.members().containsKey(self.process())
                && report.identity().zone().equals(self.zone());
        if (!report.process().equals(caller) || !(known || willing)) {
            return CompletableFuture.failedFuture(
                    new CicadaleadException(ErrorKind.NOT_READY, "This process vouches for nobody"));
        }
        covered.put(caller, report);
        if (!known) {
            events.emit(EventKind.JOIN_SPONSORED, Optional.empty(), EventDetail.of("process", caller));
        }
        joinInTheLog(current, report);
        return CompletableFuture.completedFuture(
                ByteBuffer.allocate(Long.BYTES).putLong(state.get().offset()).array());
    }

    private void joinInTheLog(SharedState current, Report report) {
        PeerIdentity identity = report.identity();
        if (current.members().containsKey(identity.process())
                || logIsOutOfReach(current)
                || !joining.add(identity.process())) {
            return;
        }
        submit.apply(new MembershipCommand.Join(
                        identity.process(), identity.zone(), identity.address(), Optional.of(self.process())))
                .whenComplete((outcome, failure) -> joining.remove(identity.process()));
    }

    /** A process needs no cover once it has ended, or once every withdrawal that is older than its join is over. */
    private void release(SharedState current) {
        covered.keySet().removeIf(process -> {
            Member member = current.members().get(process);
            return member == null ? ended.test(process) : !hasOlderMove(current, member);
        });
    }

    private static boolean hasOlderMove(SharedState current, Member member) {
        return current.hosts().values().stream().anyMatch(host -> host.move()
                .filter(move -> move.version() < member.version())
                .isPresent());
    }

    /**
     * What a sponsored process says of itself.
     *
     * @param process the process
     * @param identity who it is
     * @param quiet withdrawals that it has folded and on whose hosts it has nothing in flight
     */
    record Report(ProcessIdentifier process, PeerIdentity identity, List<HostMove> quiet) {
        /** Copies the list. */
        Report {
            quiet = List.copyOf(quiet);
        }
    }

    /**
     * What the service works on.
     *
     * @param self this process
     * @param state gives the newest shared state
     * @param channel the other processes
     * @param submit appends a command
     * @param logLease lease by contact with the log for a view at an offset
     * @param timers time
     * @param events where decisions are reported
     */
    record Ports(
            PeerIdentity self,
            Supplier<SharedState> state,
            PeerChannel channel,
            Function<Command, CompletableFuture<?>> submit,
            LongFunction<Optional<ViewLease>> logLease,
            TimerService timers,
            EventSink events) {}
}
