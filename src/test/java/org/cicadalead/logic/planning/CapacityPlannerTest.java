package org.cicadalead.logic.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cicadalead.logic.capacity.CapacityPolicy;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.support.PlannedFleet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CapacityPlannerTest {
    private static final PoolName ROUTES = new PoolName("routes");

    private final PlannedFleet fleet = PlannedFleet.withFirstMeasure("buffer-cost");

    @BeforeEach
    void publishPools() {
        fleet.publishSparePool("a", "x");
        fleet.publishPool("diets", 5, 3, "a", "b", "c", "d", "e");
        fleet.publishPool("routes", 5, 2, "a", "b", "c", "d", "e");
    }

    @Test
    void replacesFailedHostWithOneOnUnusedRack() {
        fleet.observe("routes-1", HostHealth.DOWN);

        assertEquals(List.of("spare-1 to routes"), planMoves(Map.of(), Set.of()));
    }

    @Test
    void replacesHostOfPoolMostAtRiskFirst() {
        fleet.observe("diets-0", HostHealth.DOWN);
        fleet.observe("routes-0", HostHealth.DOWN);

        assertEquals("spare-1 to routes", planMoves(Map.of(), Set.of()).get(0));
    }

    @Test
    void doesNotMoveSuspectedHost() {
        fleet.observe("routes-1", HostHealth.DOWN);

        assertEquals(List.of("spare-0 to routes"), planMoves(Map.of(), Set.of(new HostName("spare-1"))));
    }

    @Test
    void lendsAllButReserveToSustainedDemand() {
        assertEquals(1, planMoves(Map.of(ROUTES, 12), Set.of()).size());
    }

    @Test
    void movesNoHostWhenDemandIsWithinPromise() {
        assertTrue(planMoves(Map.of(ROUTES, 5), Set.of()).isEmpty());
    }

    @Test
    void reportsUnmetPromiseWhenNoHostIsAvailable() {
        fleet.observe("spare-0", HostHealth.DOWN);
        fleet.observe("spare-1", HostHealth.DOWN);
        fleet.observe("routes-0", HostHealth.DOWN);

        List<Decision> decisions = CapacityPlanner.plan(input(Map.of(), Set.of()));

        assertEquals(EventKind.PROMISE_SHORT, decisions.get(0).kind());
    }

    private List<String> planMoves(Map<PoolName, Integer> demand, Set<HostName> suspects) {
        return CapacityPlanner.plan(input(demand, suspects)).stream()
                .flatMap(decision -> decision.command().stream())
                .map(FleetCommand.Withdraw.class::cast)
                .map(withdraw -> withdraw.host() + " to " + withdraw.destination())
                .toList();
    }

    private PlanningInput input(Map<PoolName, Integer> demand, Set<HostName> suspects) {
        return new PlanningInput(
                fleet.state(),
                CapacityPolicy.SHARED_SPARE,
                suspects,
                demand,
                Map.of(),
                fleet.state().hosts().keySet(),
                StepAges.initial().withStateAt(fleet.state(), 0),
                0);
    }
}
