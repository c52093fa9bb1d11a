package org.cicadalead.adapters.membership;

import java.util.List;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;

/**
 * The members as one process sees them, and what waits for whom. Immutable.
 *
 * @param member whether this process is a member itself
 * @param sponsor the member that vouches for it while it is none; empty text for nobody
 * @param members all members, ordered by availability zone
 * @param reachableZones availability zones of which a process was heard in time, this process's own included
 * @param blocked moves that are not over, with whom they wait for
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

    /** How a member stands, as one process sees it. */
    public enum Liveness {
        /** The process that answers. */
        SELF,
        /** Heartbeats are heard of in time. */
        ALIVE,
        /** It has only just joined. */
        NEW,
        /** It accepts connections and says nothing. */
        SILENT,
        /** Nothing answers at its address. */
        CUT_OFF,
        /** It has ended without leaving and is about to be removed by a member of its availability zone. */
        ENDED
    }

    /**
     * A member.
     *
     * @param process the process
     * @param zone its availability zone
     * @param address where other entry processes reach it
     * @param joinedAt offset of its join
     * @param appliedOffset offset of its shared state, as far as heard of
     * @param liveness how it stands
     */
    public record MemberView(
            ProcessIdentifier process,
            ZoneName zone,
            String address,
            long joinedAt,
            long appliedOffset,
            Liveness liveness) {}

    /**
     * A move that is not over.
     *
     * @param host the host
     * @param from the pool that it belongs to
     * @param to the pool that it goes to
     * @param withdrawnAt offset of the withdrawal
     * @param waitingFor members that have not acknowledged
     * @param reason what it waits for, and what to do
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
