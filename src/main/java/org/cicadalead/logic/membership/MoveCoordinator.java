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
 * Decides the next steps of host moves. Every process runs it; of several equal commands, the fold accepts only one. A
 * process acknowledges a withdrawal when it has nothing in flight on the host. A host is assigned when every member of
 * its availability zone has acknowledged, and every other member either has acknowledged too or is cut off with expired
 * view leases. View leases are granted by members of the zone for the views that they have acknowledged, or by contact
 * with the log, so none that was granted before the last acknowledgement outlives the wait. Stateless; safe for use by
 * several threads.
 */
public final class MoveCoordinator {
    /** Maximum number of moves in one command. */
    public static final int MAX_BATCH_SIZE = 256;

    /** Additional delay for each process with a lower identifier that may append the same assignment. */
    public static final Duration RANK_DELAY = Duration.ofMillis(1_500);

    private MoveCoordinator() {}

    /** Decides the next step of each move in a state. */
    public static Decision decide(
            SharedState state, TreePMap<HostName, TrackedMove> previousMoves, DecisionInput input) {
        TreePMap<HostName, TrackedMove> trackedMoves = TreePMap.empty();
        List<HostMove> toAcknowledge = new ArrayList<>();
        List<HostMove> toAssign = new ArrayList<>();
        SortedSet<ProcessIdentifier> skippedMembers = new TreeSet<>();
        List<HostMove> toRecordReboot = new ArrayList<>();
        List<HostMove> toReboot = new ArrayList<>();
        List<FleetCommand.CancelMove> toCancel = new ArrayList<>();
        for (HostState host : state.hosts().values()) {
            if (host.move().isEmpty()) {
                continue;
            }
            HostMoveState move = host.move().get();
            HostMove hostMove = new HostMove(host.name(), move.version());
            if (move.awaited().containsKey(input.self()) && !input.busyHosts().contains(host.name())) {
                toAcknowledge.add(hostMove);
            }
            boolean isRebootPending =
                    move.rebooting() && !input.completedReboots().contains(hostMove);
            if (isRebootPending) {
                toReboot.add(hostMove);
                continue;
            }
            if (isDestinationRemoved(state, host, move)) {
                toCancel.add(new FleetCommand.CancelMove(hostMove));
                continue;
            }
            MoveProgress progress = MoveProgress.of(state, host.name(), move);
            if (move.rebooting()) {
                toAssign.add(hostMove);
                skippedMembers.addAll(progress.awaitedElsewhere());
                continue;
            }
            TrackedMove tracked = updateTrackedMove(previousMoves, host, move, progress, input);
            trackedMoves = trackedMoves.plus(host.name(), tracked);
            boolean isRankDelayOver = tracked.readyAt()
                    .filter(readyAt -> input.nowNanoseconds() - readyAt >= computeRankDelay(state, host, input))
                    .isPresent();
            if (!isRankDelayOver) {
                continue;
            }
            if (progress.awaitedElsewhere().isEmpty()) {
                toAssign.add(hostMove);
            } else {
                toRecordReboot.add(hostMove);
                skippedMembers.addAll(progress.awaitedElsewhere());
            }
        }
        return new Decision(
                trackedMoves,
                limitToBatch(toAcknowledge),
                limitToBatch(toAssign),
                List.copyOf(skippedMembers),
                limitToBatch(toRecordReboot),
                limitToBatch(toReboot),
                toCancel);
    }

    /** Returns whether the destination pool is no longer configured although the old pool still is. */
    private static boolean isDestinationRemoved(SharedState state, HostState host, HostMoveState move) {
        return !state.configuration().merged().pools().containsKey(move.destination())
                && state.configuration().merged().pools().containsKey(host.pool());
    }

    private static TrackedMove updateTrackedMove(
            TreePMap<HostName, TrackedMove> previousMoves,
            HostState host,
            HostMoveState move,
            MoveProgress progress,
            DecisionInput input) {
        long now = input.nowNanoseconds();
        TrackedMove previous = Optional.ofNullable(previousMoves.get(host.name()))
                .filter(tracked -> tracked.moveVersion() == move.version())
                .orElse(new TrackedMove(move.version(), Optional.empty(), Optional.empty()));
        if (!progress.awaitedInZone().isEmpty()) {
            return new TrackedMove(move.version(), Optional.empty(), Optional.empty());
        }
        long zoneAcknowledgedAt = previous.zoneAcknowledgedAt().orElse(now);
        boolean areLeasesExpired = now - zoneAcknowledgedAt >= LeaseDurations.EXPIRY_WAIT.toNanos();
        boolean isReady = progress.awaitedElsewhere().isEmpty()
                || (areLeasesExpired && input.cutOffMembers().containsAll(progress.awaitedElsewhere()));
        Optional<Long> readyAt = isReady ? Optional.of(previous.readyAt().orElse(now)) : Optional.empty();
        return new TrackedMove(move.version(), Optional.of(zoneAcknowledgedAt), readyAt);
    }

    /**
     * Returns the delay before this process assigns a host. Members of the host's availability zone assign it, one
     * after the other; if the zone has no members, all members do.
     */
    private static long computeRankDelay(SharedState state, HostState host, DecisionInput input) {
        Optional<ZoneName> zone = Optional.ofNullable(
                        state.configuration().merged().hosts().get(host.name()))
                .map(HostDefinition::zone);
        List<ProcessIdentifier> zoneMembers = state.members().values().stream()
                .filter(member -> Optional.of(member.zone()).equals(zone))
                .map(Member::process)
                .toList();
        List<ProcessIdentifier> assigners =
                zoneMembers.isEmpty() ? List.copyOf(state.members().keySet()) : zoneMembers;
        int rank = assigners.indexOf(input.self());
        return rank < 0 ? Long.MAX_VALUE : rank * RANK_DELAY.toNanos();
    }

    private static List<HostMove> limitToBatch(List<HostMove> moves) {
        return moves.subList(0, Math.min(MAX_BATCH_SIZE, moves.size()));
    }

    /**
     * What the deciding process knows. Immutable.
     *
     * @param self the process
     * @param nowNanoseconds current time of the monotonic clock
     * @param busyHosts hosts on which it, or a process that it sponsors, still has work in flight
     * @param cutOffMembers members that are confirmed to be unable to reach hosts of this availability zone now
     * @param completedReboots moves whose host has been rebooted for the move and runs again
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
     * What a process remembers about a move between decisions. Immutable.
     *
     * @param moveVersion offset of the withdrawal
     * @param zoneAcknowledgedAt when it observed that every member of the host's availability zone had acknowledged, in
     *     monotonic nanoseconds
     * @param readyAt when it observed that no member has to be waited for any more, in monotonic nanoseconds
     */
    public record TrackedMove(long moveVersion, Optional<Long> zoneAcknowledgedAt, Optional<Long> readyAt) {}

    /**
     * The steps to take now. Immutable.
     *
     * @param trackedMoves what to remember until the next decision
     * @param toAcknowledge withdrawals to acknowledge after closing the connections to their hosts
     * @param toAssign moves to assign
     * @param skippedMembers members that the assignment does not wait for
     * @param toRecordReboot moves that continue without the skipped members; the reboot of their hosts must first be
     *     recorded in the log
     * @param toReboot moves whose host the platform must reboot, as recorded in the log
     * @param toCancel moves to cancel
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
