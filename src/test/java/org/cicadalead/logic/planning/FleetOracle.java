package org.cicadalead.logic.planning;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.ConfigurationCommand;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.command.MaintenanceCommand;
import org.cicadalead.model.command.MembershipCommand;
import org.cicadalead.model.configuration.FailureCover;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.fleet.MaintenanceStep;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.RackName;
import org.cicadalead.model.state.SharedState;

/**
 * Checks each accepted command by counting hosts independently; it uses only the records of the code under test, none
 * of its logic.
 */
final class FleetOracle {
    private final Map<HostName, Set<ProcessIdentifier>> unconfirmedByHost = new HashMap<>();

    /** Fails if an accepted command violated an invariant. */
    void check(SharedState before, SharedState after, Command command) {
        require(
                after.hosts()
                        .keySet()
                        .equals(after.configuration().merged().hosts().keySet()),
                "every configured host is in the state, in one pool");
        checkPools(before, after, command);
        checkBudgets(before, after, command);
        checkDrains(before, command);
    }

    private static void checkPools(SharedState before, SharedState after, Command command) {
        for (HostState host : after.hosts().values()) {
            HostState previous = before.hosts().get(host.name());
            boolean changed = previous != null && !previous.pool().equals(host.pool());
            require(!changed || command instanceof FleetCommand.Assign, "only an assignment changes a pool");
        }
    }

    private static void checkBudgets(SharedState before, SharedState after, Command command) {
        if (command instanceof FleetCommand.Observe) {
            return;
        }
        for (ServiceDefinition service :
                after.configuration().merged().services().values()) {
            Map<RackName, Integer> availableByRack = countAvailableByRack(after, service.pool());
            int available = total(availableByRack);
            ServiceDefinition previous =
                    before.configuration().merged().services().get(service.name());
            boolean lowered = available < total(countAvailableByRack(before, service.pool()));
            boolean raised = previous != null
                    && minimumAvailable(service) > minimumAvailable(previous)
                    && command instanceof ConfigurationCommand;
            boolean granted = command instanceof MaintenanceCommand.Grant grant
                    && before.hosts().get(grant.host()).pool().equals(service.pool());
            if (lowered || raised || granted) {
                require(
                        available - hostsLostToFailure(service.budget().cover(), availableByRack)
                                >= minimumAvailable(service),
                        command + " leaves " + service.name() + " with " + available);
            }
        }
    }

    private static int minimumAvailable(ServiceDefinition service) {
        return service.budget().promisedHosts() - service.budget().maximumUnavailable();
    }

    private static int hostsLostToFailure(FailureCover cover, Map<RackName, Integer> availableByRack) {
        int largest = 0;
        for (int count : availableByRack.values()) {
            largest = Math.max(largest, count);
        }
        return cover == FailureCover.NONE ? 0 : cover == FailureCover.HOST ? Math.min(1, largest) : largest;
    }

    private static Map<RackName, Integer> countAvailableByRack(SharedState state, PoolName pool) {
        Map<RackName, Integer> availableByRack = new HashMap<>();
        for (HostState host : state.hosts().values()) {
            boolean serves = host.health() == HostHealth.UP
                    && host.maintenance() == MaintenanceStep.NONE
                    && host.move().isEmpty();
            if (serves && host.pool().equals(pool)) {
                RackName rack =
                        state.configuration().merged().hosts().get(host.name()).rack();
                availableByRack.put(rack, availableByRack.getOrDefault(rack, 0) + 1);
            }
        }
        return availableByRack;
    }

    private static int total(Map<RackName, Integer> availableByRack) {
        return availableByRack.values().stream().mapToInt(Integer::intValue).sum();
    }

    private void checkDrains(SharedState before, Command command) {
        if (command instanceof MaintenanceCommand.Grant grant) {
            unconfirmedByHost.put(grant.host(), new HashSet<>(before.members().keySet()));
        }
        if (command instanceof MaintenanceCommand.ConfirmDrain confirmation) {
            confirmation.drains().forEach(drain -> unconfirmedByHost
                    .getOrDefault(drain.host(), new HashSet<>())
                    .remove(confirmation.process()));
        }
        if (command instanceof MembershipCommand.Leave leave) {
            unconfirmedByHost.values().forEach(processes -> processes.remove(leave.process()));
        }
        if (command instanceof MaintenanceCommand.Advance advance
                && (advance.step() == MaintenanceStep.REBOOTING || advance.step() == MaintenanceStep.HELD)) {
            require(
                    Objects.requireNonNull(unconfirmedByHost.get(advance.host()))
                            .isEmpty(),
                    advance + " stops a host that " + unconfirmedByHost.get(advance.host()) + " have not drained");
        }
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new AssertionError(message);
        }
    }
}
