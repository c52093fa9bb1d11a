package org.cicadalead.model.command;

import java.util.List;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ProcessIdentifier;

/** Commands on hosts: observed failures and returns, and moves between pools. Implementations are immutable. */
public sealed interface FleetCommand extends Command {
    /**
     * Failures and returns of hosts that a process observed; a whole wave stands in one record.
     *
     * @param observations one entry a host
     */
    record Observe(List<HostObservation> observations) implements FleetCommand {
        /** Copies the list. */
        public Observe {
            observations = List.copyOf(observations);
        }
    }

    /**
     * The observed health of one host.
     *
     * @param host the host
     * @param hostVersion the version of the host that was read
     * @param health its health
     */
    record HostObservation(HostName host, long hostVersion, HostHealth health) {}

    /**
     * First step of a move: no process may place new work on the host.
     *
     * @param host the host
     * @param hostVersion the version of the host that was read
     * @param destination the pool that it goes to
     */
    record Withdraw(HostName host, long hostVersion, PoolName destination) implements FleetCommand {}

    /**
     * A process has stopped placing work on a withdrawn host and has none in flight there.
     *
     * @param process the process
     * @param hosts the hosts
     */
    record Acknowledge(ProcessIdentifier process, List<HostMove> hosts) implements FleetCommand {
        /** Copies the list. */
        public Acknowledge {
            hosts = List.copyOf(hosts);
        }
    }

    /**
     * A move of one host, named by the offset of its withdrawal.
     *
     * @param host the host
     * @param moveVersion offset of the withdrawal, or of the decision to reboot the host for it
     */
    record HostMove(HostName host, long moveVersion) {}

    /**
     * Last step of moves: each host belongs to its new pool.
     *
     * @param moves the moves
     * @param lapsed members of other availability zones that are cut off and whose view leases on the hosts have
     *     lapsed; they are not waited for
     */
    record Assign(List<HostMove> moves, List<ProcessIdentifier> lapsed) implements FleetCommand {
        /** Copies the lists. */
        public Assign {
            moves = List.copyOf(moves);
            lapsed = List.copyOf(lapsed);
        }
    }

    /**
     * Decides that hosts are rebooted by the platform before they are assigned, as members of other availability zones
     * are not waited for. From here on only an assignment that knows of the reboot is accepted.
     *
     * @param moves the moves
     * @param lapsed members of other availability zones whose view leases have lapsed
     */
    record RebootForMove(List<HostMove> moves, List<ProcessIdentifier> lapsed) implements FleetCommand {
        /** Copies the lists. */
        public RebootForMove {
            moves = List.copyOf(moves);
            lapsed = List.copyOf(lapsed);
        }
    }

    /**
     * Gives a move up: the host stays in its pool.
     *
     * @param move the move
     */
    record CancelMove(HostMove move) implements FleetCommand {}
}
