package org.cicadalead.adapters.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cicadalead.adapters.membership.MembershipStatus.BlockedMove;
import org.cicadalead.adapters.membership.MembershipStatus.Liveness;
import org.cicadalead.adapters.membership.MembershipStatus.MemberView;
import org.cicadalead.logic.fleet.MoveProgress;
import org.cicadalead.logic.membership.ObservationHistory;
import org.cicadalead.model.fleet.HostMoveState;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.Member;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.PeerChannel;

/** Describes members and unfinished moves for operators. Stateless; safe for use by several threads. */
final class StatusReporter {
    private StatusReporter() {}

    static List<MemberView> describeMembers(
            SharedState state,
            ProcessIdentifier self,
            List<PeerChannel.PeerStatus> peers,
            Function<ProcessIdentifier, Optional<ObservationHistory>> history) {
        Map<ProcessIdentifier, PeerChannel.PeerStatus> peersByProcess =
                peers.stream().collect(Collectors.toMap(PeerChannel.PeerStatus::process, peer -> peer));
        List<MemberView> views = new ArrayList<>();
        for (Member member : state.members().values()) {
            Optional<PeerChannel.PeerStatus> peer = Optional.ofNullable(peersByProcess.get(member.process()));
            boolean isSelf = member.process().equals(self);
            long offset = isSelf
                    ? state.offset()
                    : peer.map(PeerChannel.PeerStatus::appliedOffset).orElse(0L);
            Liveness liveness = isSelf ? Liveness.SELF : determineLiveness(peer, history.apply(member.process()));
            views.add(new MemberView(
                    member.process(),
                    member.zone(),
                    member.peerAddress().toString(),
                    member.version(),
                    offset,
                    liveness));
        }
        views.sort(Comparator.comparing(MemberView::zone).thenComparing(MemberView::process));
        return views;
    }

    static List<BlockedMove> describeBlockedMoves(SharedState state, List<MemberView> members) {
        Map<ProcessIdentifier, Liveness> liveness =
                members.stream().collect(Collectors.toMap(MemberView::process, MemberView::liveness));
        List<BlockedMove> blocked = new ArrayList<>();
        for (HostState host : state.hosts().values()) {
            host.move().ifPresent(move -> blocked.add(describeBlockedMove(state, host, move, liveness)));
        }
        return blocked;
    }

    private static BlockedMove describeBlockedMove(
            SharedState state, HostState host, HostMoveState move, Map<ProcessIdentifier, Liveness> liveness) {
        MoveProgress progress = MoveProgress.of(state, host.name(), move);
        TreeSet<ProcessIdentifier> waitingFor = new TreeSet<>(progress.awaitedInZone());
        waitingFor.addAll(progress.awaitedElsewhere());
        return new BlockedMove(
                host.name(),
                host.pool(),
                move.destination(),
                move.version(),
                List.copyOf(waitingFor),
                explainWait(progress, liveness));
    }

    private static String explainWait(MoveProgress progress, Map<ProcessIdentifier, Liveness> liveness) {
        if (progress.isComplete()) {
            return "every member has acknowledged; a member assigns it next";
        }
        Optional<Liveness> mostSevere =
                progress.awaitedInZone().stream().map(liveness::get).max(Comparator.naturalOrder());
        if (mostSevere.isEmpty()) {
            return "members of other availability zones finish their work there, or their view leases lapse";
        }
        return switch (mostSevere.get()) {
            case SELF, ALIVE, NEW -> "members finish their work in flight on the host";
            case SILENT -> "a member of the host's availability zone is silent: resume or end it";
            case CUT_OFF ->
                "a member of the host's availability zone is cut off and may still serve: mend the network,"
                        + " or stop its host and run 'cicadalead members remove'";
            case ENDED -> "a member of the host's availability zone has ended and is about to be removed";
        };
    }

    private static Liveness determineLiveness(
            Optional<PeerChannel.PeerStatus> peer, Optional<ObservationHistory> history) {
        if (peer.filter(PeerChannel.PeerStatus::reachable).isPresent()) {
            return Liveness.ALIVE;
        }
        return history.map(observations -> switch (observations.observation()) {
                    case REACHABLE -> Liveness.NEW;
                    case SILENT -> Liveness.SILENT;
                    case CUT_OFF -> Liveness.CUT_OFF;
                    case ENDED -> Liveness.ENDED;
                })
                .orElse(Liveness.NEW);
    }
}
