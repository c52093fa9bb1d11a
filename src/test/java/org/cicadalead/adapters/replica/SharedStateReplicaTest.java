package org.cicadalead.adapters.replica;

import static org.cicadalead.support.Commands.change;
import static org.cicadalead.support.Commands.envelope;
import static org.cicadalead.support.Commands.publish;
import static org.cicadalead.support.Commands.team;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.cicadalead.model.state.SharedState;
import org.junit.jupiter.api.Test;

class SharedStateReplicaTest {
    private final SharedStateReplica replica = new SharedStateReplica();

    @Test
    void ignoresRepeatedRecord() {
        publishTwice();
        SharedState previous = replica.state();
        assertFalse(replica.apply(1, envelope("other", 0, publish(change(team("b.toml", 1), 0)))));
        assertEquals(previous, replica.state());
    }

    @Test
    void ignoresOlderSnapshot() {
        replica.apply(1, envelope("a", 0, publish(change(team("a.toml", 1), 0))));
        SharedState older = replica.state();
        replica.apply(2, envelope("b", 1, publish(change(team("a.toml", 2), 1))));
        assertFalse(replica.jumpTo(older));
        assertEquals(2, replica.state().configuration().version());
    }

    @Test
    void ignoresSnapshotAtLaterOffsetWithOlderConfiguration() {
        replica.apply(1, envelope("a", 0, publish(change(team("a.toml", 1), 0))));
        SharedState older = replica.state();
        replica.apply(2, envelope("b", 1, publish(change(team("a.toml", 2), 1))));
        assertFalse(replica.jumpTo(older.withOffset(9)));
        assertEquals(2, replica.state().configuration().version());
    }

    @Test
    void jumpsToNewerSnapshot() {
        SharedStateReplica ahead = new SharedStateReplica();
        ahead.apply(1, envelope("a", 0, publish(change(team("a.toml", 1), 0))));
        assertTrue(replica.jumpTo(ahead.state()));
        assertEquals(ahead.state(), replica.state());
    }

    private void publishTwice() {
        replica.apply(1, envelope("a", 0, publish(change(team("a.toml", 1), 0))));
        replica.apply(2, envelope("b", 1, publish(change(team("a.toml", 2), 1))));
    }
}
