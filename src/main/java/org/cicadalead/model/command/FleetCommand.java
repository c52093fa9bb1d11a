package org.cicadalead.model.command;

import java.util.List;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ProcessIdentifier;

/** Commands on hosts: observed failures and recoveries, and moves between pools. Implementations are immutable. */
public sealed interface FleetCommand extends Command {
    /**
     * Reports host failures and recoveries that a process observed. Many observations fit into one record.
     *
     * @param observations one observation per host
     */
    record Observe(List<HostObservation> observations) implements FleetCommand {
        /** Copies the list. */
        public Observe {
            observations = List.copyOf(observations);
        }
    }

    /**
     * Observed health of one host.
     *
     * @param host the host
     * @param hostVersion version of the host that the writer had read
     * @param health the observed health
     */
    record HostObservation(HostName host, long hostVersion, HostHealth health) {}

    /**
     * Begins the move of a host: from this record on, no process may place new work on the host.
     *
     * @param host the host
     * @param hostVersion version of the host that the writer had read
     * @param destination the pool that the host is moved to
     */
    record Withdraw(HostName host, long hostVersion, PoolName destination) implements FleetCommand {}

    /**
     * Confirms that a process has stopped placing work on withdrawn hosts and has none in flight there.
     *
     * @param process the process
     * @param hosts moves of the withdrawn hosts
     */
    record Acknowledge(ProcessIdentifier process, List<HostMove> hosts) implements FleetCommand {
        /** Copies the list. */
        public Acknowledge {
            hosts = List.copyOf(hosts);
        }
    }

    /**
     * Move of one host, identified by the offset of its withdrawal.
     *
     * @param host the host
     * @param moveVersion offset of the withdrawal, or of the decision to reboot the host for it
     */
    record HostMove(HostName host, long moveVersion) {}

    /**
     * Completes moves: from this record on, each host belongs to its new pool.
     *
     * @param moves the moves
     * @param lapsed members of other availability zones that are unreachable and whose view leases on the hosts have
     *     expired; their acknowledgements are not required
     */
    record Assign(List<HostMove> moves, List<ProcessIdentifier> lapsed) implements FleetCommand {
        /** Copies the lists. */
        public Assign {
            moves = List.copyOf(moves);
            lapsed = List.copyOf(lapsed);
        }
    }

    /**
     * Decides that the platform reboots hosts before they are assigned, because acknowledgements of members in other
     * availability zones are not awaited. From this record on, only an assignment that refers to this decision is
     * accepted.
     *
     * @param moves the moves
     * @param lapsed members of other availability zones whose view leases have expired
     */
    record RebootForMove(List<HostMove> moves, List<ProcessIdentifier> lapsed) implements FleetCommand {
        /** Copies the lists. */
        public RebootForMove {
            moves = List.copyOf(moves);
            lapsed = List.copyOf(lapsed);
        }
    }

    /**
     * Cancels a move: the host stays in its pool.
     *
     * @param move the move
     */
    record CancelMove(HostMove move) implements FleetCommand {}
}
