package org.cicadalead.logic.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.support.PlannedFleet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class BudgetLedgerTest {
    private final PlannedFleet fleet = PlannedFleet.withFirstMeasure("buffer-cost");

    @BeforeEach
    void publishPools() {
        fleet.publishSparePool("x", "y");
        fleet.publishPool("routes", 5, 2, "a", "b", "c", "d", "e");
    }

    @Test
    void allowsRemovalWhenLargestCoveredFailureLeavesMinimum() {
        assertTrue(findViolation("routes-0").isEmpty());
    }

    @ParameterizedTest
    @EnumSource(names = {"DOWN", "LEAVING"})
    void countsUnavailableHostAgainstBudget(HostHealth health) {
        fleet.observe("routes-1", health);

        assertTrue(findViolation("routes-0").isPresent());
    }

    @Test
    void countsWithdrawnHostAgainstOldPoolImmediately() {
        withdraw("routes-1", "spare");

        assertTrue(findViolation("routes-0").isPresent());
    }

    @Test
    void countsIncomingHostOnlyOnceAssigned() {
        fleet.join();
        fleet.observe("routes-1", HostHealth.DOWN);
        withdraw("spare-0", "routes");

        assertTrue(findViolation("routes-0").isPresent());
    }

    @Test
    void reservesBothHostsOfSharedRack() {
        fleet.publishPool("diets", 5, 2, "a", "a", "b", "c", "d");

        assertFalse(findViolation("diets-2").isEmpty());
    }

    @Test
    void allowsRemovalOfHostThatIsDown() {
        fleet.observe("routes-0", HostHealth.DOWN);

        assertTrue(findViolation("routes-0").isEmpty());
    }

    @Test
    void rejectsRemovalOfDownHostThatPoolNeedsBack() {
        fleet.observe("routes-0", HostHealth.DOWN);
        fleet.observe("routes-1", HostHealth.DOWN);

        assertTrue(findViolation("routes-0").isPresent());
    }

    @Test
    void indexAgreesWithLedgerAfterRemoval() {
        CapacityIndex index = CapacityIndex.of(fleet.state()).withoutHost(fleet.host("routes-1"));
        withdraw("routes-1", "spare");

        assertEquals(findViolation("routes-0"), index.findBudgetViolationAfterRemoval(fleet.host("routes-0")));
    }

    private Optional<String> findViolation(String host) {
        return BudgetLedger.findBudgetViolationAfterRemoval(fleet.state(), fleet.host(host));
    }

    private void withdraw(String host, String pool) {
        assertTrue(PlannedFleet.isAccepted(fleet.apply(new FleetCommand.Withdraw(
                fleet.host(host).name(), fleet.host(host).version(), new PoolName(pool)))));
    }
}
