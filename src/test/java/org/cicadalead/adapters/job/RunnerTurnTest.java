package org.cicadalead.adapters.job;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.state.Member;
import org.cicadalead.model.state.SharedState;
import org.junit.jupiter.api.Test;
import org.pcollections.TreePMap;

class RunnerTurnTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final SharedState state = members("a", "b", "c");
    private final RunnerTurn first = new RunnerTurn(new ProcessIdentifier("a"));
    private final RunnerTurn second = new RunnerTurn(new ProcessIdentifier("b"));

    @Test
    void theFirstMemberActsAtOnce() {
        assertTrue(first.mayAct(state, true, NEVER, 0));
    }

    @Test
    void aLaterMemberActsOnlyOnWorkThatWasLeft() {
        assertFalse(second.mayAct(state, true, NEVER, 0));
        assertFalse(second.mayAct(state, true, NEVER, SECOND));
        assertTrue(second.mayAct(state, true, NEVER, 2 * SECOND));
    }

    @Test
    void aLaterMemberWaitsWhileAnotherActs() {
        second.mayAct(state, true, NEVER, 0);
        assertFalse(second.mayAct(state, true, 2 * SECOND, 3 * SECOND));
    }

    @Test
    void whoTookOverGoesOnWithoutWaitingUntilAnotherActs() {
        second.mayAct(state, true, NEVER, 0);
        second.mayAct(state, true, NEVER, 2 * SECOND);
        second.mayAct(state, false, NEVER, 3 * SECOND);
        assertTrue(second.mayAct(state, true, NEVER, 4 * SECOND));
        assertFalse(second.mayAct(state, true, 5 * SECOND, 6 * SECOND));
    }

    private static SharedState members(String... names) {
        TreePMap<ProcessIdentifier, Member> members = TreePMap.empty();
        for (String name : names) {
            ProcessIdentifier process = new ProcessIdentifier(name);
            members = members.plus(
                    process,
                    new Member(
                            process,
                            1,
                            new ZoneName("zone"),
                            new NetworkAddress("127.0.0.1", 20_000),
                            Optional.empty()));
        }
        return SharedState.empty().withMembers(members);
    }
}
