package org.cicadalead.logic.fleet;

import static org.cicadalead.support.Commands.change;
import static org.cicadalead.support.Commands.envelope;
import static org.cicadalead.support.Commands.publish;
import static org.cicadalead.support.Commands.removal;
import static org.cicadalead.support.Commands.unit;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.cicadalead.logic.state.FoldResult;
import org.cicadalead.logic.state.SharedStateFold;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.command.MembershipCommand;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.state.SharedState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HostDeclarationTest {
    private static final HostName HOST = new HostName("east-1");
    private static final ProcessIdentifier MEMBER = new ProcessIdentifier("member");
    private static final String ZONES =
            """
            [deployment]
            name = "test"
            first-measure = "moves"
            [[zone]]
            name = "east"
            region = "region"
            """;

    private SharedState state = SharedState.empty();
    private CommandOutcome lastOutcome = new CommandOutcome.Duplicate();

    @BeforeEach
    void publishZones() {
        append(publish(change(unit("00.toml", ZONES), 0)));
    }

    @Test
    void makesHostAvailableImmediatelyWithoutMembers() {
        append(publish(change(unit("10.toml", pool("red")), 0)));
        assertTrue(host().isAvailable());
    }

    @Test
    void waitsForMembersBeforeDeclaredHostIsAvailable() {
        join();
        append(publish(change(unit("10.toml", pool("red")), 0)));
        assertFalse(host().isAvailable());
        acknowledge();
        append(assign());
        assertTrue(host().isAvailable());
    }

    @Test
    void waitsForMembersWhenRemovedHostIsDeclaredInAnotherPool() {
        append(publish(change(unit("10.toml", pool("red")), 0)));
        join();
        append(publish(removal("10.toml", state.offset() - 1)));
        append(publish(change(unit("20.toml", pool("blue")), 0)));
        assertEquals(new PoolName("blue"), host().pool());
        assertFalse(host().isAvailable());
        append(assign());
        assertInstanceOf(CommandOutcome.Rejected.class, lastOutcome);
    }

    @Test
    void rejectsCancellationOfHostEntry() {
        join();
        append(publish(change(unit("10.toml", pool("red")), 0)));
        append(new FleetCommand.CancelMove(move()));
        assertInstanceOf(CommandOutcome.Rejected.class, lastOutcome);
        assertFalse(host().isAvailable());
    }

    @Test
    void rejectsAcknowledgementOfProcessThatIsNotAwaited() {
        join();
        append(publish(change(unit("10.toml", pool("red")), 0)));
        append(new FleetCommand.Acknowledge(new ProcessIdentifier("stranger"), List.of(move())));
        assertInstanceOf(CommandOutcome.Rejected.class, lastOutcome);
    }

    @Test
    void rejectsAssignmentThatListsZoneMemberAsLapsed() {
        join();
        append(publish(change(unit("10.toml", pool("red")), 0)));
        append(new FleetCommand.Assign(List.of(move()), List.of(MEMBER)));
        assertInstanceOf(CommandOutcome.Rejected.class, lastOutcome);
    }

    private void join() {
        append(new MembershipCommand.Join(
                MEMBER, new ZoneName("east"), new NetworkAddress("127.0.0.1", 1), Optional.empty()));
    }

    private void acknowledge() {
        append(new FleetCommand.Acknowledge(MEMBER, List.of(move())));
    }

    private FleetCommand.Assign assign() {
        return new FleetCommand.Assign(List.of(move()), List.of());
    }

    private FleetCommand.HostMove move() {
        return new FleetCommand.HostMove(HOST, host().move().orElseThrow().version());
    }

    private HostState host() {
        return state.hosts().get(HOST);
    }

    private void append(Command command) {
        long offset = state.offset() + 1;
        FoldResult result =
                SharedStateFold.apply(state, offset, envelope("command-" + offset, state.offset(), command));
        state = result.state();
        lastOutcome = result.outcome();
    }

    private static String pool(String name) {
        return """
            [[host]]
            name = "east-1"
            zone = "east"
            rack = "rack"
            address = "127.0.0.1:1001"
            processors = 4
            memory-gigabytes = 4
            [[pool]]
            name = "%s"
            hosts = ["east-1"]
            """
                .formatted(name);
    }
}
