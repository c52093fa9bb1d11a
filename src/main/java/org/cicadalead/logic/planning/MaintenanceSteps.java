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
 * Plans the next step of each host under maintenance, and finds the drains that a process has to confirm. Stateless;
 * safe for use by several threads.
 */
public final class MaintenanceSteps {
    /** Time after which a reboot or a verification counts as failed, in milliseconds. */
    public static final long REBOOT_TIMEOUT_MILLISECONDS = 20 * 60_000L;

    private MaintenanceSteps() {}

    /** Plans the next step of each host that is ready for it. */
    public static List<Decision> plan(PlanningInput input) {
        List<Decision> decisions = new ArrayList<>();
        for (HostState host : input.state().hosts().values()) {
            if (host.wave().isPresent()) {
                findNextStep(input, host).ifPresent(step -> decisions.add(createAdvance(input.state(), host, step)));
            }
        }
        return decisions;
    }

    /**
     * Returns the drains that a process has to confirm: those that await its confirmation, on hosts where it has no
     * work in flight.
     */
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

    /** Returns the number of the reboot that a host needs for its wave; empty if the host is not at the reboot step. */
    public static Optional<Long> findRebootNumber(SharedState state, HostState host) {
        return host.maintenance() == MaintenanceStep.REBOOTING
                ? findWaveHost(state, host).map(WaveHost::grantVersion)
                : Optional.empty();
    }

    private static Optional<MaintenanceStep> findNextStep(PlanningInput input, HostState host) {
        boolean timedOut = input.ages().ageMilliseconds(host.name()) > REBOOT_TIMEOUT_MILLISECONDS;
        return switch (host.maintenance()) {
            case NONE -> Optional.empty();
            case DRAINING -> findStepAfterDrain(input.state(), host);
            case HELD -> isWaveAborted(input.state(), host) ? Optional.of(MaintenanceStep.VERIFYING) : Optional.empty();
            case REBOOTING -> findStepAfterReboot(input, host, timedOut);
            case VERIFYING -> findStepAfterVerification(input, host, timedOut);
            case FAILED -> hasReturned(input, host) ? Optional.of(MaintenanceStep.VERIFYING) : Optional.empty();
        };
    }

    private static Optional<MaintenanceStep> findStepAfterDrain(SharedState state, HostState host) {
        if (isWaveAborted(state, host)) {
            return Optional.of(MaintenanceStep.NONE);
        }
        boolean allConfirmed = findWaveHost(state, host)
                .map(waveHost -> waveHost.awaited().keySet().stream().noneMatch(state.members()::containsKey))
                .orElse(false);
        return allConfirmed ? findWave(state, host).map(wave -> wave.action().stepAfterDrain()) : Optional.empty();
    }

    private static Optional<MaintenanceStep> findStepAfterReboot(
            PlanningInput input, HostState host, boolean timedOut) {
        Optional<HostCondition> condition =
                Optional.ofNullable(input.conditions().get(host.name()));
        long reboot = findRebootNumber(input.state(), host).orElse(0L);
        if (condition.filter(hostCondition -> hostCondition.hasFinished(reboot)).isPresent()) {
            return Optional.of(MaintenanceStep.VERIFYING);
        }
        boolean hasFailed = condition
                .filter(hostCondition -> hostCondition.operation() >= reboot
                        && hostCondition.progress() == HostCondition.Progress.BROKEN)
                .isPresent();
        return hasFailed || timedOut ? Optional.of(MaintenanceStep.FAILED) : Optional.empty();
    }

    private static Optional<MaintenanceStep> findStepAfterVerification(
            PlanningInput input, HostState host, boolean timedOut) {
        boolean verified =
                host.health().isAvailable() && input.hostsListedAsUp().contains(host.name());
        if (verified) {
            return Optional.of(MaintenanceStep.NONE);
        }
        return timedOut ? Optional.of(MaintenanceStep.FAILED) : Optional.empty();
    }

    private static boolean hasReturned(PlanningInput input, HostState host) {
        boolean running = Optional.ofNullable(input.conditions().get(host.name()))
                .filter(hostCondition -> hostCondition.progress() == HostCondition.Progress.RUNNING)
                .isPresent();
        return running && host.health().isAvailable() && input.hostsListedAsUp().contains(host.name());
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
