package org.cicadalead.logic.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.cicadalead.logic.capacity.BudgetLedger;
import org.cicadalead.logic.state.FoldResult;
import org.cicadalead.model.command.MaintenanceCommand;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.fleet.MaintenanceStep;
import org.cicadalead.model.fleet.WaveHost;
import org.cicadalead.model.fleet.WaveHostProgress;
import org.cicadalead.model.fleet.WavePhase;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.Member;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.model.state.WaveState;
import org.pcollections.TreePMap;

/**
 * Folds the commands of maintenance waves. A host is taken out of service only by a grant after which every budget is
 * still met, and is stopped only after every process that was a member at the grant has confirmed the drain or has
 * left. Stateless; safe for use by several threads.
 */
public final class MaintenanceFold {
    /** Maximum number of completed waves that are kept for display. */
    static final int MAX_COMPLETED_WAVES = 20;

    private MaintenanceFold() {}

    /** Applies one command to a state. */
    public static FoldResult apply(SharedState state, long offset, MaintenanceCommand command) {
        if (command instanceof MaintenanceCommand.Start start) {
            return start(state, offset, start);
        }
        if (command instanceof MaintenanceCommand.Change change) {
            return change(state, offset, change);
        }
        if (command instanceof MaintenanceCommand.Grant grant) {
            return grant(state, offset, grant);
        }
        if (command instanceof MaintenanceCommand.ConfirmDrain confirmation) {
            return confirmDrains(state, offset, confirmation);
        }
        return advance(state, offset, (MaintenanceCommand.Advance) command);
    }

    private static FoldResult start(SharedState state, long offset, MaintenanceCommand.Start start) {
        WaveState existing = state.waves().get(start.wave());
        if (existing != null && isNameInUse(existing)) {
            return FoldResult.rejected(state, ErrorKind.CONFLICT, "There is a wave '" + start.wave() + "' already");
        }
        TreePMap<HostName, WaveHost> hosts = TreePMap.empty();
        for (HostState host : state.hosts().values()) {
            if (start.selection()
                    .selects(host, state.configuration().merged().hosts().get(host.name()))) {
                hosts = hosts.plus(host.name(), WaveHost.waiting());
            }
        }
        if (hosts.isEmpty()) {
            return FoldResult.rejected(state, ErrorKind.UNKNOWN_RESOURCE, "The selection takes no host of the fleet");
        }
        WaveState wave = new WaveState(
                start.wave(),
                offset,
                WavePhase.RUNNING,
                start.action(),
                start.reason(),
                start.startedMilliseconds(),
                start.periodMilliseconds(),
                start.maximumFailures(),
                hosts);
        return FoldResult.accepted(dropOldWaves(state.withWave(wave)), offset);
    }

    /**
     * Tells whether the name of a wave must not be reused yet. It may be reused once the wave is over and none of its
     * hosts is in maintenance, unless the wave was periodic.
     */
    private static boolean isNameInUse(WaveState wave) {
        return !wave.phase().isTerminal()
                || wave.countHosts(WaveHostProgress.UNDER_WAY) > 0
                || wave.periodMilliseconds() > 0;
    }

    private static FoldResult change(SharedState state, long offset, MaintenanceCommand.Change change) {
        WaveState wave = state.waves().get(change.wave());
        if (wave == null || wave.version() != change.waveVersion()) {
            return FoldResult.rejected(state, ErrorKind.CONFLICT, "The wave has changed since the command was decided");
        }
        Optional<WavePhase> phase = change.change().apply(wave.phase());
        if (phase.isEmpty()) {
            return FoldResult.rejected(state, ErrorKind.CONFLICT, "The wave is over: " + wave.phase());
        }
        WaveState changed = dropMissingHosts(state, wave).withPhase(offset, phase.get());
        if (phase.get() == WavePhase.ABORTED) {
            changed = dropHosts(changed, entry -> entry.getValue().progress() == WaveHostProgress.WAITING);
        }
        if (phase.get() == WavePhase.RUNNING) {
            int failed = changed.countHosts(WaveHostProgress.FAILED);
            changed = changed.withMaximumFailures(Math.max(changed.maximumFailures(), failed + 1));
        }
        return FoldResult.accepted(state.withWave(finishIfDone(changed, offset)), offset);
    }

    private static FoldResult grant(SharedState state, long offset, MaintenanceCommand.Grant grant) {
        HostState host = state.hosts().get(grant.host());
        WaveState wave = state.waves().get(grant.wave());
        if (host == null || host.version() != grant.hostVersion() || wave == null) {
            return rejectAsConflict(state);
        }
        WaveHost waveHost = wave.hosts().get(grant.host());
        if (!wave.phase().canGrant() || waveHost == null || waveHost.progress() != WaveHostProgress.WAITING) {
            return FoldResult.rejected(state, ErrorKind.CONFLICT, "The wave does not grant this host now");
        }
        if (host.maintenance() != MaintenanceStep.NONE
                || host.move().isPresent()
                || host.health() == HostHealth.LEAVING) {
            return FoldResult.rejected(state, ErrorKind.CONFLICT, "The host is moving, leaving or under maintenance");
        }
        Optional<String> reason = BudgetLedger.findBudgetViolationAfterRemoval(state, host);
        if (reason.isPresent()) {
            return FoldResult.rejected(state, ErrorKind.BUDGET_EXCEEDED, reason.get());
        }
        TreePMap<ProcessIdentifier, Long> awaited = TreePMap.empty();
        for (Member member : state.members().values()) {
            awaited = awaited.plus(member.process(), member.version());
        }
        WaveHost granted = new WaveHost(WaveHostProgress.UNDER_WAY, offset, awaited);
        HostState draining = host.withMaintenance(offset, MaintenanceStep.DRAINING, Optional.of(grant.wave()));
        return FoldResult.accepted(state.withHost(draining).withWave(wave.withHost(host.name(), granted)), offset);
    }

    private static FoldResult confirmDrains(
            SharedState state, long offset, MaintenanceCommand.ConfirmDrain confirmation) {
        SharedState changed = state;
        for (MaintenanceCommand.Drain drain : confirmation.drains()) {
            WaveState wave = changed.waves().get(drain.wave());
            WaveHost host = wave == null ? null : wave.hosts().get(drain.host());
            if (host != null && host.grantVersion() == drain.grantVersion()) {
                changed =
                        changed.withWave(wave.withHost(drain.host(), host.withConfirmationBy(confirmation.process())));
            }
        }
        return FoldResult.accepted(changed, offset);
    }

    private static FoldResult advance(SharedState state, long offset, MaintenanceCommand.Advance advance) {
        HostState host = state.hosts().get(advance.host());
        if (host == null
                || host.version() != advance.hostVersion()
                || host.wave().isEmpty()) {
            return rejectAsConflict(state);
        }
        Optional<WaveState> wave = host.wave().map(state.waves()::get);
        Optional<String> reason = findReasonAgainstStep(state, host, wave, advance.step());
        if (reason.isPresent()) {
            return FoldResult.rejected(state, ErrorKind.CONFLICT, reason.get());
        }
        boolean isReleased = advance.step() == MaintenanceStep.NONE;
        HostState advanced = host.withMaintenance(offset, advance.step(), isReleased ? Optional.empty() : host.wave());
        SharedState changed = state.withHost(advanced);
        if (wave.isEmpty()) {
            return FoldResult.accepted(changed, offset);
        }
        WaveState updatedWave = recordStep(state, wave.get(), host, advance.step(), offset);
        return FoldResult.accepted(changed.withWave(updatedWave), offset);
    }

    private static Optional<String> findReasonAgainstStep(
            SharedState state, HostState host, Optional<WaveState> wave, MaintenanceStep step) {
        boolean aborted =
                wave.map(waveState -> waveState.phase() == WavePhase.ABORTED).orElse(true);
        boolean allowed =
                switch (host.maintenance()) {
                    case NONE -> false;
                    case DRAINING ->
                        aborted
                                ? step == MaintenanceStep.NONE
                                : step == wave.get().action().stepAfterDrain();
                    case HELD -> aborted && step == MaintenanceStep.VERIFYING;
                    case REBOOTING -> step == MaintenanceStep.VERIFYING || step == MaintenanceStep.FAILED;
                    case VERIFYING ->
                        step == MaintenanceStep.FAILED
                                || (step == MaintenanceStep.NONE
                                        && host.health().isAvailable());
                    case FAILED -> step == MaintenanceStep.VERIFYING;
                };
        if (!allowed) {
            return Optional.of("The host cannot go from " + host.maintenance() + " to " + step);
        }
        if (host.maintenance() != MaintenanceStep.DRAINING || aborted) {
            return Optional.empty();
        }
        List<ProcessIdentifier> unconfirmedMembers = wave.get().hosts().get(host.name()).awaited().keySet().stream()
                .filter(state.members()::containsKey)
                .toList();
        return unconfirmedMembers.isEmpty()
                ? Optional.empty()
                : Optional.of("Members have not confirmed the drain: " + unconfirmedMembers);
    }

    /** Records the step of a host in its wave, and stops the wave if more hosts have failed than it tolerates. */
    private static WaveState recordStep(
            SharedState state, WaveState wave, HostState host, MaintenanceStep step, long offset) {
        WaveHost waveHost = wave.hosts().get(host.name());
        WaveHostProgress progress =
                switch (step) {
                    case NONE ->
                        host.maintenance() == MaintenanceStep.DRAINING
                                ? WaveHostProgress.DROPPED
                                : WaveHostProgress.DONE;
                    case FAILED -> WaveHostProgress.FAILED;
                    case DRAINING, HELD, REBOOTING, VERIFYING -> WaveHostProgress.UNDER_WAY;
                };
        WaveState updatedWave = dropMissingHosts(state, wave.withHost(host.name(), waveHost.withProgress(progress)));
        boolean tooManyFailures = updatedWave.countHosts(WaveHostProgress.FAILED) > updatedWave.maximumFailures();
        if (tooManyFailures && updatedWave.phase() == WavePhase.RUNNING) {
            return updatedWave.withPhase(offset, WavePhase.STOPPED);
        }
        return finishIfDone(updatedWave, offset);
    }

    private static WaveState finishIfDone(WaveState wave, long offset) {
        boolean allTerminal =
                wave.hosts().values().stream().allMatch(host -> host.progress().isTerminal());
        return allTerminal && !wave.phase().isTerminal() ? wave.withPhase(offset, WavePhase.FINISHED) : wave;
    }

    /**
     * Drops hosts that have left the fleet, and hosts that were removed and declared again while they were in the wave.
     */
    private static WaveState dropMissingHosts(SharedState state, WaveState wave) {
        return dropHosts(wave, entry -> hasLeftWave(state, wave, entry.getKey(), entry.getValue()));
    }

    private static boolean hasLeftWave(SharedState state, WaveState wave, HostName name, WaveHost waveHost) {
        HostState host = state.hosts().get(name);
        if (waveHost.progress().isTerminal()) {
            return false;
        }
        boolean released = waveHost.progress() == WaveHostProgress.UNDER_WAY
                && host != null
                && !host.wave().equals(Optional.of(wave.wave()));
        return host == null || released;
    }

    private static WaveState dropHosts(WaveState wave, Predicate<Map.Entry<HostName, WaveHost>> shouldDrop) {
        TreePMap<HostName, WaveHost> remaining = wave.hosts();
        for (Map.Entry<HostName, WaveHost> entry : wave.hosts().entrySet()) {
            if (shouldDrop.test(entry)) {
                remaining = remaining.plus(entry.getKey(), entry.getValue().withProgress(WaveHostProgress.DROPPED));
            }
        }
        return wave.withHosts(remaining);
    }

    /** Removes the oldest completed waves that have no host in maintenance; the newest periodic wave is kept. */
    private static SharedState dropOldWaves(SharedState state) {
        long newestPeriodic = state.waves().values().stream()
                .filter(wave -> wave.periodMilliseconds() > 0)
                .mapToLong(WaveState::startedMilliseconds)
                .max()
                .orElse(0);
        List<WaveState> completedWaves = state.waves().values().stream()
                .filter(wave -> wave.phase().isTerminal())
                .filter(wave -> wave.periodMilliseconds() == 0 || wave.startedMilliseconds() < newestPeriodic)
                .filter(wave -> wave.countHosts(WaveHostProgress.UNDER_WAY) == 0)
                .sorted(Comparator.comparingLong(WaveState::version))
                .toList();
        SharedState remaining = state;
        for (WaveState wave : completedWaves.subList(0, Math.max(0, completedWaves.size() - MAX_COMPLETED_WAVES))) {
            remaining = remaining.withWaves(remaining.waves().minus(wave.wave()));
        }
        return remaining;
    }

    private static FoldResult rejectAsConflict(SharedState state) {
        return FoldResult.rejected(state, ErrorKind.CONFLICT, "The host has changed since the command was decided");
    }
}
