package org.cicadalead.adapters.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.state.SharedState;

/** What must hold, judged by hosts and by the log alone. */
final class MoveOracle {
    private MoveOracle() {}

    /** Work that arrives at a host is its pool's, by the newest record of the log. */
    static void checkWorkArrival(SharedState truth, HostName host, PoolName pool) {
        assertEquals(truth.hosts().get(host).pool(), pool, "work of another pool arrived at " + host);
    }

    /** Of racing moves of a host one wins: a withdrawal is not accepted while another one stands. */
    static void checkFoldedRecord(SharedState before, FleetCommand command, CommandOutcome outcome) {
        if (command instanceof FleetCommand.Withdraw withdraw && outcome instanceof CommandOutcome.Accepted) {
            HostState host = before.hosts().get(withdraw.host());
            assertTrue(host.move().isEmpty(), "two moves at once of " + withdraw.host());
        }
    }

    /** When a host is assigned, nothing of its old pool is being run there for a process that is not cut off. */
    static void checkAssignment(HostState host, List<PoolName> running) {
        assertFalse(running.stream().anyMatch(pool -> !pool.equals(host.pool())), "old work runs on " + host.name());
    }

    /** Once everything is mended, every move ends. */
    static void checkAllMovesEnded(SharedState truth) {
        List<HostName> moving = truth.hosts().values().stream()
                .filter(host -> host.move().isPresent())
                .map(HostState::name)
                .toList();
        assertEquals(List.of(), moving, "moves that never end");
    }
}
