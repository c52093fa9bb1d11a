package org.cicadalead.adapters.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.cicadalead.adapters.peer.PeerIdentity;
import org.cicadalead.logic.membership.MemberRemoval;
import org.cicadalead.logic.membership.ObservationHistory;
import org.cicadalead.logic.membership.PeerObservation;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.MembershipCommand;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.Member;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.EventSink;
import org.cicadalead.ports.PeerChannel;
import org.cicadalead.ports.TimerService;

/**
 * Probes members whose heartbeats are missing, and appends the removal of those that have ended. Safe for use by
 * several threads.
 */
public final class MemberStatusMonitor implements AutoCloseable {
    private static final Duration PERIOD = Duration.ofSeconds(3);

    private final ProcessIdentifier self;
    private final Supplier<SharedState> state;
    private final PeerChannel channel;
    private final Function<PeerIdentity, CompletableFuture<PeerObservation>> probe;
    private final Function<Command, CompletableFuture<?>> submit;
    private final TimerService timers;
    private final EventSink events;
    private final Map<ProcessIdentifier, ObservationHistory> histories = new ConcurrentHashMap<>();
    private final Set<ProcessIdentifier> probesInFlight = ConcurrentHashMap.newKeySet();
    private final Set<ProcessIdentifier> removalsInFlight = ConcurrentHashMap.newKeySet();
    private volatile Supplier<List<PeerIdentity>> additionalPeers = List::of;
    private final List<TimerService.Subscription> subscriptions = new CopyOnWriteArrayList<>();

    MemberStatusMonitor(
            ProcessIdentifier self,
            Supplier<SharedState> state,
            PeerChannel channel,
            Function<PeerIdentity, CompletableFuture<PeerObservation>> probe,
            Function<Command, CompletableFuture<?>> submit,
            TimerService timers,
            EventSink events) {
        this.self = self;
        this.state = state;
        this.channel = channel;
        this.probe = probe;
        this.submit = submit;
        this.timers = timers;
        this.events = events;
    }

    /** Sets the supplier of processes that are monitored although they are not members. */
    void setAdditionalPeers(Supplier<List<PeerIdentity>> newAdditionalPeers) {
        additionalPeers = newAdditionalPeers;
    }

    /** Returns whether it is confirmed that a process has ended. */
    boolean hasEnded(ProcessIdentifier process) {
        return findHistory(process)
                .filter(observations -> observations.isEndConfirmed(timers.nanoTime()))
                .isPresent();
    }

    void start() {
        subscriptions.add(timers.every(PERIOD, this::checkMembers));
    }

    /** Returns the members that are confirmed to be cut off or to have ended. */
    Set<ProcessIdentifier> findCutOffMembers() {
        long now = timers.nanoTime();
        return histories.entrySet().stream()
                .filter(entry -> entry.getValue().isCutOffConfirmed(now))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the observations of a member while its heartbeats are missing. */
    Optional<ObservationHistory> findHistory(ProcessIdentifier member) {
        return Optional.ofNullable(histories.get(member));
    }

    @Override
    public void close() {
        subscriptions.forEach(TimerService.Subscription::close);
    }

    private void checkMembers() {
        SharedState current = state.get();
        Set<ProcessIdentifier> suspects = new HashSet<>();
        Set<ProcessIdentifier> reachable = channel.peers().stream()
                .filter(PeerChannel.PeerStatus::reachable)
                .map(PeerChannel.PeerStatus::process)
                .collect(Collectors.toSet());
        List<PeerIdentity> monitored = new ArrayList<>(additionalPeers.get());
        for (Member member : current.members().values()) {
            monitored.add(new PeerIdentity(member.process(), member.zone(), member.peerAddress()));
        }
        for (PeerIdentity peer : monitored) {
            if (!peer.process().equals(self) && !reachable.contains(peer.process()) && suspects.add(peer.process())) {
                probe(peer);
            }
        }
        histories.keySet().retainAll(suspects);
        removeEndedMembers(current, reachable);
    }

    private void probe(PeerIdentity peer) {
        if (!probesInFlight.add(peer.process())) {
            return;
        }
        long startedAt = timers.nanoTime();
        probe.apply(peer).whenComplete((observation, failure) -> {
            probesInFlight.remove(peer.process());
            if (failure == null) {
                recordObservation(peer.process(), observation, startedAt);
            }
        });
    }

    private void recordObservation(ProcessIdentifier member, PeerObservation observation, long startedAt) {
        histories.compute(
                member,
                (process, previous) -> previous == null
                        ? ObservationHistory.of(observation, startedAt)
                        : previous.withObservation(observation, startedAt));
    }

    private void removeEndedMembers(SharedState current, Set<ProcessIdentifier> reachable) {
        for (MembershipCommand.Leave removal :
                MemberRemoval.decide(current, self, reachable, Map.copyOf(histories), timers.nanoTime())) {
            if (removalsInFlight.add(removal.process())) {
                events.emit(EventKind.MEMBER_REMOVED, Optional.empty(), EventDetail.of("member", removal.process()));
                submit.apply(removal).whenComplete((outcome, failure) -> removalsInFlight.remove(removal.process()));
            }
        }
    }
}
