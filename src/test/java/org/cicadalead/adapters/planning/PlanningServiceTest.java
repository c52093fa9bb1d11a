package org.cicadalead.adapters.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.MaintenanceCommand;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.fleet.HostCondition;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.fleet.MaintenanceStep;
import org.cicadalead.model.fleet.WaveAction;
import org.cicadalead.model.fleet.WavePhase;
import org.cicadalead.model.fleet.WaveSelection;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.WaveIdentifier;
import org.cicadalead.ports.HostDirectory.DirectoryEntry;
import org.cicadalead.ports.HostMaintenance;
import org.cicadalead.ports.PlacementControl;
import org.cicadalead.support.ManualTimerService;
import org.cicadalead.support.PlannedFleet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PlanningServiceTest {
    private static final HostName HOST = new HostName("routes-0");
    private static final WaveIdentifier WAVE = new WaveIdentifier("wave");

    private final PlannedFleet fleet = PlannedFleet.withFirstMeasure("buffer-cost");
    private final Map<HostName, HostHealth> listed = new TreeMap<>();
    private final FakeReboots reboots = new FakeReboots();
    private final Set<HostName> failing = new HashSet<>();
    private final FakePlacements placements = new FakePlacements();
    private final ManualTimerService timers = new ManualTimerService();
    private final PlanningService service = new PlanningService(
            PlannedFleet.PROCESS,
            fleet::state,
            new PlanningService.PlatformPorts(this::list, reboots),
            new PlanningService.RequestObservations(Map::of, host -> failing.contains(host)),
            this::append,
            timers,
            (kind, cause, details) -> {});
    private boolean platformDown;
    private boolean logDown;

    @BeforeEach
    void joinFleet() {
        fleet.publishPool("routes", 5, 2, "a", "b", "c", "d", "e");
        fleet.join();
        fleet.state().hosts().keySet().forEach(host -> listed.put(host, HostHealth.UP));
        service.addPlacementControl(placements);
    }

    @Test
    void reportsLeavingHostAfterOneCycleWhileLogIsDown() {
        logDown = true;
        listed.put(HOST, HostHealth.LEAVING);

        service.runCycle();

        assertEquals(Set.of(HOST), service.leavingHosts());
    }

    @Test
    void rebootsEveryHostOfWaveOnceAndFinishes() {
        startWave();

        runCycles(40);

        assertEquals(WavePhase.FINISHED, fleet.state().waves().get(WAVE).phase());
        assertEquals(5, reboots.rebootCount);
    }

    @Test
    void doesNotRebootHostWithWorkInFlight() {
        placements.busy = Set.copyOf(fleet.state().hosts().keySet());
        startWave();

        runCycles(10);

        assertEquals(0, reboots.rebootCount);
        assertTrue(fleet.state().hosts().values().stream()
                .anyMatch(host -> host.maintenance() == MaintenanceStep.DRAINING));
    }

    @Test
    void countsLocallyFailingHostAsFailedBeforeLogRecordsIt() {
        failing.add(HOST);
        startWave();

        runCycles(3);

        assertFalse(fleet.state().hosts().values().stream()
                .anyMatch(host -> host.wave().isPresent()));
    }

    @Test
    void plansNothingWithoutPlatform() {
        startWave();
        platformDown = true;

        assertThrows(CicadaleadException.class, service::runCycle);
        assertFalse(fleet.state().hosts().values().stream()
                .anyMatch(host -> host.wave().isPresent()));
    }

    @Test
    void dividesInFlightAndQueuedRequestsBySlotsPerHost() {
        placements.busy = Set.of(HOST);
        PoolUsage usage = new PoolUsage(fleet::state, placements, unused -> 15);

        assertEquals(2.0, usage.busyHosts().get(new PoolName("routes")));
    }

    private void startWave() {
        fleet.apply(
                new MaintenanceCommand.Start(WAVE, WaveSelection.ofWholeFleet(), WaveAction.REBOOT, "test", 0, 0, 0));
    }

    private void runCycles(int count) {
        for (int cycle = 0; cycle < count; cycle++) {
            timers.advance(Duration.ofSeconds(1));
            service.runCycle();
        }
    }

    private List<DirectoryEntry> list() {
        if (platformDown) {
            throw new CicadaleadException(ErrorKind.PLATFORM_UNAVAILABLE, "down");
        }
        return listed.entrySet().stream()
                .map(entry -> new DirectoryEntry(entry.getKey(), entry.getValue()))
                .toList();
    }

    private CompletableFuture<CommandOutcome> append(Command command) {
        return logDown
                ? CompletableFuture.failedFuture(new CicadaleadException(ErrorKind.PLATFORM_UNAVAILABLE, "down"))
                : CompletableFuture.completedFuture(fleet.apply(command));
    }

    private static final class FakeReboots implements HostMaintenance {
        private final Map<HostName, Long> operations = new HashMap<>();
        private int rebootCount;

        @Override
        public void reboot(HostName host, long operation) {
            rebootCount++;
            operations.put(host, operation);
        }

        @Override
        public HostCondition condition(HostName host) {
            return new HostCondition(operations.getOrDefault(host, 0L), HostCondition.Progress.RUNNING);
        }
    }

    private static final class FakePlacements implements PlacementControl {
        private Set<HostName> busy = Set.of();

        @Override
        public int countInFlight(HostName host) {
            return busy.contains(host) ? 1 : 0;
        }

        @Override
        public void closeConnections(HostName host) {
            // There are no connections to close.
        }
    }
}
