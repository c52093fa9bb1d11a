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

class RunnerActivationTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final SharedState state = members("a", "b", "c");
    private final RunnerActivation first = new RunnerActivation(new ProcessIdentifier("a"));
    private final RunnerActivation second = new RunnerActivation(new ProcessIdentifier("b"));

    @Test
    void activatesFirstMemberAtOnce() {
        assertTrue(first.tryActivate(state, true, NEVER, 0));
    }

    @Test
    void activatesLaterMemberOnlyOnOverdueWork() {
        assertFalse(second.tryActivate(state, true, NEVER, 0));
        assertFalse(second.tryActivate(state, true, NEVER, SECOND));
        assertTrue(second.tryActivate(state, true, NEVER, 2 * SECOND));
    }

    @Test
    void doesNotActivateLaterMemberWhileAnotherIsActive() {
        second.tryActivate(state, true, NEVER, 0);
        assertFalse(second.tryActivate(state, true, 2 * SECOND, 3 * SECOND));
    }

    @Test
    void staysActiveAfterTakeoverUntilAnotherActs() {
        second.tryActivate(state, true, NEVER, 0);
        second.tryActivate(state, true, NEVER, 2 * SECOND);
        second.tryActivate(state, false, NEVER, 3 * SECOND);
        assertTrue(second.tryActivate(state, true, NEVER, 4 * SECOND));
        assertFalse(second.tryActivate(state, true, 5 * SECOND, 6 * SECOND));
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
