package org.cicadalead.logic.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.cicadalead.logic.fleet.MoveProgress;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.command.FleetCommand.HostMove;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.fleet.HostMoveState;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.state.Member;
import org.cicadalead.model.state.SharedState;
import org.pcollections.TreePMap;

/**
 * Brings moves forward. Every process runs it; the fold lets only one of several equal commands through. A process
 * acknowledges a withdrawal when it has nothing in flight on the host. A host is assigned when every member of its
 * availability zone has acknowledged, and every other member has too, or is cut off and its view leases have lapsed:
 * they are granted by members of the zone for the views that these have acknowledged, or by contact with the log, so
 * none that was granted before the last acknowledgement outlives the wait. Stateless; safe for use by several threads.
 */
public final class MoveCoordinator {
    /** Most moves in one command. */
    public static final int BATCH = 256;

    /** How much longer each next process waits with an assignment that another one may append. */
    public static final Duration RANK_DELAY = Duration.ofMillis(1_500);

    private MoveCoordinator() {}

    /** Decides on all moves of a state. */
    public static Decision decide(SharedState state, TreePMap<HostName, Watch> watches, Facts facts) {
        TreePMap<HostName, Watch> kept = TreePMap.empty();
        List<HostMove> acknowledged = new ArrayList<>();
        List<HostMove> assigned = new ArrayList<>();
        SortedSet<ProcessIdentifier> lapsed = new TreeSet<>();
        List<HostMove> passedOver = new ArrayList<>();
        List<HostMove> reboots = new ArrayList<>();
        List<FleetCommand.CancelMove> cancelled = new ArrayList<>();
        for (HostState host : state.hosts().values()) {
            if (host.move().isEmpty()) {
                continue;
            }
            HostMoveState move = host.move().get();
            HostMove named = new HostMove(host.name(), move.version());
            if (move.awaited().containsKey(facts.self()) && !facts.busyHosts().contains(host.name())) {
                acknowledged.add(named);
            }
            boolean rebootPending = move.rebooting() && !facts.rebooted().contains(named);
            if (rebootPending) {
                reboots.add(named);
                continue;
            }
            if (isLost(state, host, move)) {
                cancelled.add(new FleetCommand.CancelMove(named));
                continue;
            }
            MoveProgress progress = MoveProgress.of(state, host.name(), move);
            if (move.rebooting()) {
                assigned.add(named);
                lapsed.addAll(progress.awaitedElsewhere());
                continue;
            }
            Watch watch = watched(watches, host, move, progress, facts);
            kept = kept.plus(host.name(), watch);
            boolean inTurn = watch.readyAt()
                    .filter(readyAt -> facts.nowNanoseconds() - readyAt >= rankDelay(state, host, facts))
                    .isPresent();
            if (!inTurn) {
                continue;
            }
            if (progress.awaitedElsewhere().isEmpty()) {
                assigned.add(named);
            } else {
                passedOver.add(named);
                lapsed.addAll(progress.awaitedElsewhere());
            }
        }
        return new Decision(
                kept,
                first(acknowledged),
                first(assigned),
                List.copyOf(lapsed),
                first(passedOver),
                first(reboots),
                cancelled);
    }

    /** The pool that the host should go to is not configured any more, while its old one is. */
    private static boolean isLost(SharedState state, HostState host, HostMoveState move) {
        return !state.configuration().merged().pools().containsKey(move.destination())
                && state.configuration().merged().pools().containsKey(host.pool());
    }

    private static Watch watched(
            TreePMap<HostName, Watch> watches, HostState host, HostMoveState move, MoveProgress progress, Facts facts) {
        long now = facts.nowNanoseconds();
        Watch before = Optional.ofNullable(watches.get(host.name()))
                .filter(watch -> watch.moveVersion() == move.version())
                .orElse(new Watch(move.version(), Optional.empty(), Optional.empty()));
        if (!progress.awaitedInZone().isEmpty()) {
            return new Watch(move.version(), Optional.empty(), Optional.empty());
        }
        long zoneDoneAt = before.zoneDoneAt().orElse(now);
        boolean waited = now - zoneDoneAt >= LeaseTerms.LAPSE_WAIT.toNanos();
        boolean ready = progress.awaitedElsewhere().isEmpty()
                || (waited && facts.cutOff().containsAll(progress.awaitedElsewhere()));
        Optional<Long> readyAt = ready ? Optional.of(before.readyAt().orElse(now)) : Optional.empty();
        return new Watch(move.version(), Optional.of(zoneDoneAt), readyAt);
    }

    /** Members of the host's availability zone assign it, in turn; without any, all members do. */
    private static long rankDelay(SharedState state, HostState host, Facts facts) {
        Optional<ZoneName> zone = Optional.ofNullable(
                        state.configuration().merged().hosts().get(host.name()))
                .map(HostDefinition::zone);
        List<ProcessIdentifier> near = state.members().values().stream()
                .filter(member -> Optional.of(member.zone()).equals(zone))
                .map(Member::process)
                .toList();
        List<ProcessIdentifier> actors =
                near.isEmpty() ? List.copyOf(state.members().keySet()) : near;
        int rank = actors.indexOf(facts.self());
        return rank < 0 ? Long.MAX_VALUE : rank * RANK_DELAY.toNanos();
    }

    private static List<HostMove> first(List<HostMove> moves) {
        return moves.subList(0, Math.min(BATCH, moves.size()));
    }

    /**
     * What the deciding process sees. Immutable.
     *
     * @param self the process
     * @param nowNanoseconds the monotonic clock
     * @param busyHosts hosts on which it, or a process that it vouches for, still has work in flight
     * @param cutOff members that certainly cannot reach hosts of this availability zone now
     * @param rebooted moves whose host was rebooted for them, and runs again
     */
    public record Facts(
            ProcessIdentifier self,
            long nowNanoseconds,
            Set<HostName> busyHosts,
            Set<ProcessIdentifier> cutOff,
            Set<HostMove> rebooted) {
        /** Copies the sets. */
        public Facts {
            busyHosts = Set.copyOf(busyHosts);
            cutOff = Set.copyOf(cutOff);
            rebooted = Set.copyOf(rebooted);
        }
    }

    /**
     * What a process remembers of a move. Immutable.
     *
     * @param moveVersion offset of the withdrawal
     * @param zoneDoneAt when it saw that every member of the host's availability zone had acknowledged
     * @param readyAt when it saw that nobody is waited for any more
     */
    public record Watch(long moveVersion, Optional<Long> zoneDoneAt, Optional<Long> readyAt) {}

    /**
     * What to do now. Immutable.
     *
     * @param watches what to remember
     * @param acknowledged withdrawals to acknowledge, once the connections to the hosts are closed
     * @param assigned moves to assign
     * @param lapsed members that the assignment does not wait for
     * @param passedOver moves that go on without some members; a reboot of their hosts is to be decided in the log
     * @param reboots moves whose host the platform is to reboot, as the log has decided
     * @param cancelled moves to give up
     */
    public record Decision(
            TreePMap<HostName, Watch> watches,
            List<HostMove> acknowledged,
            List<HostMove> assigned,
            List<ProcessIdentifier> lapsed,
            List<HostMove> passedOver,
            List<HostMove> reboots,
            List<FleetCommand.CancelMove> cancelled) {
        /** Copies the lists. */
        public Decision {
            acknowledged = List.copyOf(acknowledged);
            assigned = List.copyOf(assigned);
            lapsed = List.copyOf(lapsed);
            passedOver = List.copyOf(passedOver);
            reboots = List.copyOf(reboots);
            cancelled = List.copyOf(cancelled);
        }
    }
}
