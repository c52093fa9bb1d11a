package org.cicadalead.logic.planning;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cicadalead.model.command.MaintenanceCommand;
import org.cicadalead.model.command.MaintenanceCommand.Drain;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.fleet.HostCondition;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.fleet.MaintenanceStep;
import org.cicadalead.model.fleet.WaveHost;
import org.cicadalead.model.fleet.WavePhase;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.model.state.WaveState;

/**
 * Decides the next step of each host under maintenance, and which drains a process confirms. Stateless; safe for use by
 * several threads.
 */
public final class MaintenanceSteps {
    /** A reboot or verification that takes longer has failed, in milliseconds. */
    public static final long REBOOT_TIMEOUT_MILLISECONDS = 20 * 60_000L;

    private MaintenanceSteps() {}

    /** Plans the steps that hosts are ready for. */
    public static List<Decision> plan(PlanningInput input) {
        List<Decision> decisions = new ArrayList<>();
        for (HostState host : input.state().hosts().values()) {
            if (host.wave().isPresent()) {
                findNextStep(input, host).ifPresent(step -> decisions.add(createAdvance(input.state(), host, step)));
            }
        }
        return decisions;
    }

    /** Returns the drains that a process has to confirm: those it is awaited for, on hosts where it has no work. */
    public static List<Drain> findDrainsToConfirm(
            SharedState state, ProcessIdentifier process, Set<HostName> idleHosts) {
        List<Drain> drains = new ArrayList<>();
        for (HostState host : state.hosts().values()) {
            if (host.maintenance() != MaintenanceStep.DRAINING || !idleHosts.contains(host.name())) {
                continue;
            }
            Optional<WaveHost> waveHost = findWaveHost(state, host);
            if (waveHost.isPresent() && waveHost.get().awaited().containsKey(process)) {
                drains.add(new Drain(
                        host.wave().orElseThrow(), host.name(), waveHost.get().grantVersion()));
            }
        }
        return drains;
    }

    /** Returns the number of the reboot that a host is to make in its wave; empty when it is not to reboot. */
    public static Optional<Long> findRebootNumber(SharedState state, HostState host) {
        return host.maintenance() == MaintenanceStep.REBOOTING
                ? findWaveHost(state, host).map(WaveHost::grantVersion)
                : Optional.empty();
    }

    private static Optional<MaintenanceStep> findNextStep(PlanningInput input, HostState host) {
        boolean late = input.ages().ageMilliseconds(host.name()) > REBOOT_TIMEOUT_MILLISECONDS;
        return switch (host.maintenance()) {
            case NONE -> Optional.empty();
            case DRAINING -> findStepAfterDrain(input.state(), host);
            case HELD -> isWaveAborted(input.state(), host) ? Optional.of(MaintenanceStep.VERIFYING) : Optional.empty();
            case REBOOTING -> findStepAfterReboot(input, host, late);
            case VERIFYING -> findStepAfterVerification(input, host, late);
            case FAILED -> hasReturned(input, host) ? Optional.of(MaintenanceStep.VERIFYING) : Optional.empty();
        };
    }

    private static Optional<MaintenanceStep> findStepAfterDrain(SharedState state, HostState host) {
        if (isWaveAborted(state, host)) {
            return Optional.of(MaintenanceStep.NONE);
        }
        boolean confirmed = findWaveHost(state, host)
                .map(waveHost -> waveHost.awaited().keySet().stream().noneMatch(state.members()::containsKey))
                .orElse(false);
        return confirmed ? findWave(state, host).map(wave -> wave.action().stepAfterDrain()) : Optional.empty();
    }

    private static Optional<MaintenanceStep> findStepAfterReboot(PlanningInput input, HostState host, boolean late) {
        Optional<HostCondition> condition =
                Optional.ofNullable(input.conditions().get(host.name()));
        long reboot = findRebootNumber(input.state(), host).orElse(0L);
        if (condition.filter(found -> found.hasFinished(reboot)).isPresent()) {
            return Optional.of(MaintenanceStep.VERIFYING);
        }
        boolean broken = condition
                .filter(found -> found.operation() >= reboot && found.progress() == HostCondition.Progress.BROKEN)
                .isPresent();
        return broken || late ? Optional.of(MaintenanceStep.FAILED) : Optional.empty();
    }

    private static Optional<MaintenanceStep> findStepAfterVerification(
            PlanningInput input, HostState host, boolean late) {
        boolean verified = host.health().isAvailable() && input.listedUp().contains(host.name());
        if (verified) {
            return Optional.of(MaintenanceStep.NONE);
        }
        return late ? Optional.of(MaintenanceStep.FAILED) : Optional.empty();
    }

    private static boolean hasReturned(PlanningInput input, HostState host) {
        boolean running = Optional.ofNullable(input.conditions().get(host.name()))
                .filter(found -> found.progress() == HostCondition.Progress.RUNNING)
                .isPresent();
        return running && host.health().isAvailable() && input.listedUp().contains(host.name());
    }

    private static boolean isWaveAborted(SharedState state, HostState host) {
        return findWave(state, host)
                .map(wave -> wave.phase() == WavePhase.ABORTED)
                .orElse(true);
    }

    private static Optional<WaveState> findWave(SharedState state, HostState host) {
        return host.wave().map(state.waves()::get);
    }

    private static Optional<WaveHost> findWaveHost(SharedState state, HostState host) {
        return findWave(state, host).map(wave -> wave.hosts().get(host.name()));
    }

    private static Decision createAdvance(SharedState state, HostState host, MaintenanceStep step) {
        EventKind kind = step == MaintenanceStep.FAILED ? EventKind.MAINTENANCE_FAILED : EventKind.MAINTENANCE_STEP;
        return Decision.toAppend(
                new MaintenanceCommand.Advance(host.name(), host.version(), step),
                kind,
                host.wave().orElseThrow(),
                EventDetail.of("host", host.name()),
                EventDetail.of("from", host.maintenance()),
                EventDetail.of("to", step),
                EventDetail.of("offset", state.offset()));
    }
}
