package org.cicadalead.logic.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Objects;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.MaintenanceCommand;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.fleet.MaintenanceStep;
import org.cicadalead.model.fleet.WaveAction;
import org.cicadalead.model.fleet.WaveChange;
import org.cicadalead.model.fleet.WavePhase;
import org.cicadalead.model.fleet.WaveSelection;
import org.cicadalead.model.identity.WaveIdentifier;
import org.cicadalead.model.state.WaveState;
import org.cicadalead.support.PlannedFleet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class MaintenanceFoldTest {
    private static final WaveIdentifier WAVE = new WaveIdentifier("wave");

    private final PlannedFleet fleet = PlannedFleet.withFirstMeasure("buffer-cost");

    @BeforeEach
    void startWave() {
        fleet.publishPool("routes", 5, 2, "a", "b", "c", "d", "e");
        fleet.join();
        start(WaveAction.REBOOT);
    }

    @Test
    void rejectsSecondOfTwoConcurrentGrantsBeyondBudget() {
        HostState second = fleet.host("routes-1");
        assertTrue(PlannedFleet.isAccepted(grant("routes-0")));

        CommandOutcome outcome = fleet.apply(new MaintenanceCommand.Grant(WAVE, second.name(), second.version()));

        assertEquals(ErrorKind.BUDGET_EXCEEDED, ((CommandOutcome.Rejected) outcome).kind());
    }

    @Test
    void rejectsGrantForOutdatedHostVersion() {
        HostState outdatedHost = fleet.host("routes-0");
        fleet.observe("routes-0", HostHealth.LEAVING);

        assertFalse(PlannedFleet.isAccepted(
                fleet.apply(new MaintenanceCommand.Grant(WAVE, outdatedHost.name(), outdatedHost.version()))));
    }

    @Test
    void rejectsRebootBeforeEveryMemberConfirmedDrain() {
        grant("routes-0");

        assertFalse(PlannedFleet.isAccepted(advance("routes-0", MaintenanceStep.REBOOTING)));
        confirm("routes-0");
        assertTrue(PlannedFleet.isAccepted(advance("routes-0", MaintenanceStep.REBOOTING)));
    }

    @Test
    void returnsHostToPoolOnlyWhileUp() {
        advanceThrough("routes-0", MaintenanceStep.REBOOTING, MaintenanceStep.VERIFYING);
        fleet.observe("routes-0", HostHealth.DOWN);

        assertFalse(PlannedFleet.isAccepted(advance("routes-0", MaintenanceStep.NONE)));
        fleet.observe("routes-0", HostHealth.UP);
        assertTrue(PlannedFleet.isAccepted(advance("routes-0", MaintenanceStep.NONE)));
    }

    @Test
    void stopsWaveWhenHostFailsAndCountsItAgainstBudget() {
        advanceThrough("routes-0", MaintenanceStep.REBOOTING, MaintenanceStep.FAILED);

        assertEquals(WavePhase.STOPPED, wave().phase());
        change(WaveChange.RESUME);
        assertFalse(PlannedFleet.isAccepted(grant("routes-1")));
    }

    @Test
    void grantsNothingWhilePausedAndDropsWaitingHostsWhenAborted() {
        change(WaveChange.PAUSE);
        assertFalse(PlannedFleet.isAccepted(grant("routes-0")));

        change(WaveChange.ABORT);
        assertTrue(wave().hosts().values().stream()
                .allMatch(host -> host.progress().isTerminal()));
    }

    @Test
    void returnsDrainingHostWithoutRebootWhenWaveIsAborted() {
        grant("routes-0");
        change(WaveChange.ABORT);

        assertTrue(PlannedFleet.isAccepted(advance("routes-0", MaintenanceStep.NONE)));
        assertTrue(fleet.host("routes-0").isAvailable());
    }

    @Test
    void acceptsOnlyFirstOfTwoChangesToSameVersion() {
        MaintenanceCommand.Change pause = new MaintenanceCommand.Change(WAVE, wave().version(), WaveChange.PAUSE);
        MaintenanceCommand.Change abort = new MaintenanceCommand.Change(WAVE, wave().version(), WaveChange.ABORT);

        assertTrue(PlannedFleet.isAccepted(fleet.apply(pause)));
        assertFalse(PlannedFleet.isAccepted(fleet.apply(abort)));
    }

    private void start(WaveAction action) {
        fleet.apply(new MaintenanceCommand.Start(WAVE, WaveSelection.ofWholeFleet(), action, "test", 0, 0, 0));
    }

    private CommandOutcome grant(String host) {
        return fleet.apply(new MaintenanceCommand.Grant(
                WAVE, fleet.host(host).name(), fleet.host(host).version()));
    }

    private void confirm(String host) {
        long version = wave().hosts().get(fleet.host(host).name()).grantVersion();
        fleet.apply(new MaintenanceCommand.ConfirmDrain(
                PlannedFleet.PROCESS,
                List.of(new MaintenanceCommand.Drain(WAVE, fleet.host(host).name(), version))));
    }

    private void advanceThrough(String host, MaintenanceStep... steps) {
        grant(host);
        confirm(host);
        for (MaintenanceStep step : steps) {
            assertTrue(PlannedFleet.isAccepted(advance(host, step)));
        }
    }

    private CommandOutcome advance(String host, MaintenanceStep step) {
        return fleet.apply(new MaintenanceCommand.Advance(
                fleet.host(host).name(), fleet.host(host).version(), step));
    }

    private void change(WaveChange change) {
        fleet.apply(new MaintenanceCommand.Change(WAVE, wave().version(), change));
    }

    private WaveState wave() {
        return Objects.requireNonNull(fleet.state().waves().get(WAVE));
    }
}
