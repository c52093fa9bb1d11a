package org.cicadalead.adapters.membership;

import java.util.List;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;

/**
 * The members as one process sees them, and the moves that wait for members. Immutable.
 *
 * @param member whether this process is a member
 * @param sponsor the member that sponsors this process while it is not a member; an empty string if there is none
 * @param members all members, ordered by availability zone
 * @param reachableZones availability zones with a reachable process, including this process's own zone
 * @param blocked unfinished moves, with the members that they wait for
 */
public record MembershipStatus(
        boolean member,
        String sponsor,
        List<MemberView> members,
        List<ZoneName> reachableZones,
        List<BlockedMove> blocked) {
    /** Copies the lists. */
    public MembershipStatus {
        members = List.copyOf(members);
        reachableZones = List.copyOf(reachableZones);
        blocked = List.copyOf(blocked);
    }

    /** The state of a member as one process sees it. */
    public enum Liveness {
        /** The process that reports this status. */
        SELF,
        /** Its last heartbeat is recent enough. */
        ALIVE,
        /** It has just joined. */
        NEW,
        /** It accepts connections but sends nothing. */
        SILENT,
        /** Its address does not respond. */
        CUT_OFF,
        /** It has ended without leaving, and a member of its availability zone is about to remove it. */
        ENDED
    }

    /**
     * A member.
     *
     * @param process the process
     * @param zone its availability zone
     * @param address address at which other entry processes reach it
     * @param joinedAt offset of its join
     * @param appliedOffset newest known offset of its shared state
     * @param liveness state of the member as this process sees it
     */
    public record MemberView(
            ProcessIdentifier process,
            ZoneName zone,
            String address,
            long joinedAt,
            long appliedOffset,
            Liveness liveness) {}

    /**
     * An unfinished move.
     *
     * @param host the host
     * @param from the pool that the host belongs to
     * @param to the pool that the host moves to
     * @param withdrawnAt offset of the withdrawal
     * @param waitingFor members that have not acknowledged
     * @param reason what the move waits for, and what an operator can do
     */
    public record BlockedMove(
            HostName host,
            PoolName from,
            PoolName to,
            long withdrawnAt,
            List<ProcessIdentifier> waitingFor,
            String reason) {
        /** Copies the list. */
        public BlockedMove {
            waitingFor = List.copyOf(waitingFor);
        }
    }
}
