package org.cicadalead.logic.planning;

import java.util.Optional;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.command.MaintenanceCommand;
import org.cicadalead.model.configuration.AvailabilityBudget;
import org.cicadalead.model.configuration.FailureCover;
import org.cicadalead.model.configuration.FleetConfiguration;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.fleet.MaintenanceStep;
import org.cicadalead.model.fleet.WaveHost;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.state.ConfigurationState;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.model.state.WaveState;
import org.pcollections.TreePMap;

/** Simulated faults of the fold that the oracle must detect. Each mutation hides part of the state from the fold. */
enum FleetMutation {
    NONE,
    COVER_IGNORED,
    RACK_TAKEN_FOR_HOST,
    FAILURES_IGNORED,
    MAINTENANCE_IGNORED,
    CONFIRMATIONS_IGNORED;

    /** Returns the state that the faulty fold reads when it applies a command. */
    SharedState stateSeenByFold(SharedState state, Command command) {
        boolean takesHost = command instanceof FleetCommand.Withdraw || command instanceof MaintenanceCommand.Grant;
        return switch (this) {
            case NONE -> state;
            case COVER_IGNORED -> takesHost ? withCover(state, FailureCover.NONE) : state;
            case RACK_TAKEN_FOR_HOST -> takesHost ? withCover(state, FailureCover.HOST) : state;
            case FAILURES_IGNORED -> takesHost ? withoutFailures(state, targetOf(command)) : state;
            case MAINTENANCE_IGNORED -> takesHost ? withoutMaintenance(state, targetOf(command)) : state;
            case CONFIRMATIONS_IGNORED -> command instanceof MaintenanceCommand.Advance ? withoutAwaited(state) : state;
        };
    }

    private static HostName targetOf(Command command) {
        return command instanceof FleetCommand.Withdraw withdraw
                ? withdraw.host()
                : ((MaintenanceCommand.Grant) command).host();
    }

    private static SharedState withCover(SharedState state, FailureCover cover) {
        FleetConfiguration merged = state.configuration().merged();
        TreePMap<ServiceName, ServiceDefinition> services = merged.services();
        for (ServiceDefinition service : merged.services().values()) {
            AvailabilityBudget budget = new AvailabilityBudget(
                    service.budget().promisedHosts(), service.budget().maximumUnavailable(), cover);
            services = services.plus(service.name(), FleetSimulation.withBudget(service, budget));
        }
        FleetConfiguration changed = new FleetConfiguration(
                merged.deployment(), merged.zones(), merged.hosts(), merged.pools(), services, merged.teams());
        return state.withConfiguration(new ConfigurationState(
                state.configuration().version(), state.configuration().units(), changed));
    }

    private static SharedState withoutFailures(SharedState state, HostName target) {
        SharedState visibleState = state;
        for (HostState host : state.hosts().values()) {
            if (!host.name().equals(target)) {
                visibleState = visibleState.withHost(host.withHealth(host.version(), HostHealth.UP));
            }
        }
        return visibleState;
    }

    private static SharedState withoutMaintenance(SharedState state, HostName target) {
        SharedState visibleState = state;
        for (HostState host : state.hosts().values()) {
            if (!host.name().equals(target)) {
                visibleState = visibleState.withHost(
                        host.withMaintenance(host.version(), MaintenanceStep.NONE, Optional.empty()));
            }
        }
        return visibleState;
    }

    private static SharedState withoutAwaited(SharedState state) {
        SharedState visibleState = state;
        for (WaveState wave : state.waves().values()) {
            WaveState changed = wave;
            for (HostName name : wave.hosts().keySet()) {
                WaveHost host = wave.hosts().get(name);
                changed = changed.withHost(name, new WaveHost(host.progress(), host.grantVersion(), TreePMap.empty()));
            }
            visibleState = visibleState.withWave(changed);
        }
        return visibleState;
    }
}
