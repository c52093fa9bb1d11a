package org.cicadalead.logic.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.support.Commands;
import org.cicadalead.support.PlannedFleet;
import org.junit.jupiter.api.Test;

class BudgetFeasibilityTest {
    private final PlannedFleet fleet = PlannedFleet.withFirstMeasure("buffer-cost");

    @Test
    void reportsMissingHostsWhenPoolIsTooSmallForBudget() {
        CommandOutcome outcome = fleet.publishPool("routes", 4, 1, "a", "a", "b", "b");

        CommandOutcome.Rejected rejected = (CommandOutcome.Rejected) outcome;
        assertEquals(ErrorKind.INVALID_CONFIGURATION, rejected.kind());
        assertTrue(
                rejected.detail()
                        .contains("has 4, of which the largest failure that the budget covers (rack)"
                                + " takes 2: 1 are missing"),
                rejected.detail());
    }

    @Test
    void rejectsPromisesBeyondFleetSize() {
        CommandOutcome outcome = fleet.publishPool("routes", 6, 4, "a", "b", "c", "d");

        CommandOutcome.Rejected rejected = (CommandOutcome.Rejected) outcome;
        assertTrue(rejected.detail().contains("promised 2 hosts more than exist (routes misses 2)"), rejected.detail());
    }

    @Test
    void acceptsPoolBelowPromiseWhenSpareHostsSuffice() {
        fleet.publishSparePool("e", "f");

        assertTrue(PlannedFleet.isAccepted(fleet.publishPool("routes", 6, 4, "a", "b", "c", "d")));
    }

    @Test
    void rejectsRaisedPromiseThatCurrentFailuresBreak() {
        fleet.publishPool("routes", 5, 2, "a", "b", "c", "d", "e");
        fleet.observe("routes-0", HostHealth.DOWN);

        assertFalse(PlannedFleet.isAccepted(fleet.publish(Commands.unit("routes.toml", unitWithRaisedBudget()))));
    }

    @Test
    void acceptsUnrelatedPublicationWhileFailuresBreakBudget() {
        fleet.publishPool("routes", 5, 2, "a", "b", "c", "d", "e");
        fleet.observe("routes-0", HostHealth.DOWN);
        fleet.observe("routes-1", HostHealth.DOWN);
        fleet.observe("routes-2", HostHealth.DOWN);

        assertTrue(PlannedFleet.isAccepted(fleet.publish(Commands.team("team.toml", 2))));
    }

    @Test
    void keepsSlackOfOtherPoolsWhenUnitIsAdded() {
        fleet.publishPool("routes", 5, 2, "a", "b", "c", "d", "e");
        int slack = CapacityIndex.of(fleet.state())
                .pool(fleet.host("routes-0").pool())
                .slack();

        assertTrue(PlannedFleet.isAccepted(fleet.publishPool("surveys", 4, 2, "a", "b", "c", "d")));
        assertEquals(
                slack,
                CapacityIndex.of(fleet.state())
                        .pool(fleet.host("routes-0").pool())
                        .slack());
    }

    @Test
    void rejectsUnitThatTakesHostOfAnotherPool() {
        fleet.publishPool("routes", 5, 2, "a", "b", "c", "d", "e");
        String unitText = "[[pool]]\nname = \"surveys\"\nhosts = [\"routes-0\"]\n";

        assertFalse(PlannedFleet.isAccepted(fleet.publish(Commands.unit("surveys.toml", unitText))));
        assertEquals("routes", fleet.host("routes-0").pool().value());
    }

    /** Returns the same hosts with a budget that keeps four instead of three available. */
    private String unitWithRaisedBudget() {
        StringBuilder text = new StringBuilder("[[service]]\nname = \"routes-service\"\npool = \"routes\"\n"
                + "promised-hosts = 5\nmaximum-unavailable = 1\ncovers = \"rack\"\n"
                + "[[pool]]\nname = \"routes\"\nhosts = [\"routes-0\", \"routes-1\", \"routes-2\", \"routes-3\","
                + " \"routes-4\"]\n");
        for (int number = 0; number < 5; number++) {
            text.append("[[host]]\nname = \"routes-")
                    .append(number)
                    .append("\"\nzone = \"zone\"\nrack = \"")
                    .append("abcde".charAt(number))
                    .append("\"\naddress = \"127.0.0.1:")
                    .append(21_000 + number)
                    .append("\"\nprocessors = 8\nmemory-gigabytes = 8\n");
        }
        return text.toString();
    }
}
