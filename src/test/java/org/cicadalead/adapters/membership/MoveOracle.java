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

/** Checks the invariants of moves, using only the state of hosts and the log. */
final class MoveOracle {
    private MoveOracle() {}

    /** Checks that work arriving at a host belongs to the host's pool according to the newest record in the log. */
    static void checkWorkArrival(SharedState committedState, HostName host, PoolName pool) {
        assertEquals(committedState.hosts().get(host).pool(), pool, "work of another pool arrived at " + host);
    }

    /** Checks that no withdrawal of a host is accepted while another move of the host is unfinished. */
    static void checkFoldedRecord(SharedState before, FleetCommand command, CommandOutcome outcome) {
        if (command instanceof FleetCommand.Withdraw withdraw && outcome instanceof CommandOutcome.Accepted) {
            HostState host = before.hosts().get(withdraw.host());
            assertTrue(host.move().isEmpty(), "two concurrent moves of " + withdraw.host());
        }
    }

    /** Checks that no work of the old pool runs on a newly assigned host, except for processes that are cut off. */
    static void checkAssignment(HostState host, List<PoolName> running) {
        assertFalse(
                running.stream().anyMatch(pool -> !pool.equals(host.pool())),
                "work of the old pool runs on " + host.name());
    }

    /** Checks that every move ends after all faults have been repaired. */
    static void checkNoUnfinishedMoves(SharedState committedState) {
        List<HostName> unfinishedMoves = committedState.hosts().values().stream()
                .filter(host -> host.move().isPresent())
                .map(HostState::name)
                .toList();
        assertEquals(List.of(), unfinishedMoves, "unfinished moves");
    }
}
