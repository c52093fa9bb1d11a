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
    public static final int MAX_BATCH_SIZE = 256;

    /** How much longer each next process waits with an assignment that another one may append. */
    public static final Duration RANK_DELAY = Duration.ofMillis(1_500);

    private MoveCoordinator() {}

    /** Decides on all moves of a state. */
    public static Decision decide(SharedState state, TreePMap<HostName, TrackedMove> watches, DecisionInput facts) {
        TreePMap<HostName, TrackedMove> kept = TreePMap.empty();
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
            boolean rebootPending =
                    move.rebooting() && !facts.completedReboots().contains(named);
            if (rebootPending) {
                reboots.add(named);
                continue;
            }
            if (isDestinationRemoved(state, host, move)) {
                cancelled.add(new FleetCommand.CancelMove(named));
                continue;
            }
            MoveProgress progress = MoveProgress.of(state, host.name(), move);
            if (move.rebooting()) {
                assigned.add(named);
                lapsed.addAll(progress.awaitedElsewhere());
                continue;
            }
            TrackedMove watch = updateTrackedMove(watches, host, move, progress, facts);
            kept = kept.plus(host.name(), watch);
            boolean inTurn = watch.readyAt()
                    .filter(readyAt -> facts.nowNanoseconds() - readyAt >= computeRankDelay(state, host, facts))
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
                limitToBatch(acknowledged),
                limitToBatch(assigned),
                List.copyOf(lapsed),
                limitToBatch(passedOver),
                limitToBatch(reboots),
                cancelled);
    }

    /** The pool that the host should go to is not configured any more, while its old one is. */
    private static boolean isDestinationRemoved(SharedState state, HostState host, HostMoveState move) {
        return !state.configuration().merged().pools().containsKey(move.destination())
                && state.configuration().merged().pools().containsKey(host.pool());
    }

    private static TrackedMove updateTrackedMove(
            TreePMap<HostName, TrackedMove> watches,
            HostState host,
            HostMoveState move,
            MoveProgress progress,
            DecisionInput facts) {
        long now = facts.nowNanoseconds();
        TrackedMove before = Optional.ofNullable(watches.get(host.name()))
                .filter(watch -> watch.moveVersion() == move.version())
                .orElse(new TrackedMove(move.version(), Optional.empty(), Optional.empty()));
        if (!progress.awaitedInZone().isEmpty()) {
            return new TrackedMove(move.version(), Optional.empty(), Optional.empty());
        }
        long zoneDoneAt = before.zoneAcknowledgedAt().orElse(now);
        boolean waited = now - zoneDoneAt >= LeaseDurations.EXPIRY_WAIT.toNanos();
        boolean ready = progress.awaitedElsewhere().isEmpty()
                || (waited && facts.cutOffMembers().containsAll(progress.awaitedElsewhere()));
        Optional<Long> readyAt = ready ? Optional.of(before.readyAt().orElse(now)) : Optional.empty();
        return new TrackedMove(move.version(), Optional.of(zoneDoneAt), readyAt);
    }

    /** Members of the host's availability zone assign it, in turn; without any, all members do. */
    private static long computeRankDelay(SharedState state, HostState host, DecisionInput facts) {
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

    private static List<HostMove> limitToBatch(List<HostMove> moves) {
        return moves.subList(0, Math.min(MAX_BATCH_SIZE, moves.size()));
    }

    /**
     * What the deciding process sees. Immutable.
     *
     * @param self the process
     * @param nowNanoseconds the monotonic clock
     * @param busyHosts hosts on which it, or a process that it vouches for, still has work in flight
     * @param cutOffMembers members that certainly cannot reach hosts of this availability zone now
     * @param completedReboots moves whose host was rebooted for them, and runs again
     */
    public record DecisionInput(
            ProcessIdentifier self,
            long nowNanoseconds,
            Set<HostName> busyHosts,
            Set<ProcessIdentifier> cutOffMembers,
            Set<HostMove> completedReboots) {
        /** Copies the sets. */
        public DecisionInput {
            busyHosts = Set.copyOf(busyHosts);
            cutOffMembers = Set.copyOf(cutOffMembers);
            completedReboots = Set.copyOf(completedReboots);
        }
    }

    /**
     * What a process remembers of a move. Immutable.
     *
     * @param moveVersion offset of the withdrawal
     * @param zoneAcknowledgedAt when it saw that every member of the host's availability zone had acknowledged
     * @param readyAt when it saw that nobody is waited for any more
     */
    public record TrackedMove(long moveVersion, Optional<Long> zoneAcknowledgedAt, Optional<Long> readyAt) {}

    /**
     * What to do now. Immutable.
     *
     * @param trackedMoves what to remember
     * @param toAcknowledge withdrawals to acknowledge, once the connections to the hosts are closed
     * @param toAssign moves to assign
     * @param skippedMembers members that the assignment does not wait for
     * @param toRecordReboot moves that go on without some members; a reboot of their hosts is to be decided in the log
     * @param toReboot moves whose host the platform is to reboot, as the log has decided
     * @param toCancel moves to give up
     */
    public record Decision(
            TreePMap<HostName, TrackedMove> trackedMoves,
            List<HostMove> toAcknowledge,
            List<HostMove> toAssign,
            List<ProcessIdentifier> skippedMembers,
            List<HostMove> toRecordReboot,
            List<HostMove> toReboot,
            List<FleetCommand.CancelMove> toCancel) {
        /** Copies the lists. */
        public Decision {
            toAcknowledge = List.copyOf(toAcknowledge);
            toAssign = List.copyOf(toAssign);
            skippedMembers = List.copyOf(skippedMembers);
            toRecordReboot = List.copyOf(toRecordReboot);
            toReboot = List.copyOf(toReboot);
            toCancel = List.copyOf(toCancel);
        }
    }
}
