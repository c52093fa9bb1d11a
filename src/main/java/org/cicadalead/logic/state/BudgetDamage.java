package org.cicadalead.logic.state;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.cicadalead.logic.capacity.BudgetFeasibility;
import org.cicadalead.model.configuration.ConfigurationProblem;
import org.cicadalead.model.configuration.FleetConfiguration;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.state.ConfigurationState;
import org.cicadalead.model.state.SharedState;
import org.pcollections.TreePMap;

/**
 * Finds the budgets that a publication would break: those that could not hold with every host working, and those that
 * the publication leaves unchanged while it takes working hosts away. Hosts that are only now declared are still on
 * their way into their pool, so a budget that is new is judged on working hosts. Stateless; safe for use by several
 * threads.
 */
final class BudgetDamage {
    private BudgetDamage() {}

    static List<ConfigurationProblem> problems(SharedState before, SharedState after) {
        Set<ConfigurationProblem> problems = new LinkedHashSet<>(
                BudgetFeasibility.problems(after.configuration().merged(), after.hosts()));
        problems.addAll(BudgetFeasibility.damage(before, withUnchangedServices(before, after)));
        return List.copyOf(problems);
    }

    private static SharedState withUnchangedServices(SharedState before, SharedState after) {
        FleetConfiguration earlier = before.configuration().merged();
        FleetConfiguration later = after.configuration().merged();
        TreePMap<ServiceName, ServiceDefinition> unchanged = TreePMap.empty();
        for (ServiceDefinition service : later.services().values()) {
            ServiceDefinition known = earlier.services().get(service.name());
            if (known != null
                    && known.budget().equals(service.budget())
                    && known.pool().equals(service.pool())) {
                unchanged = unchanged.plus(service.name(), service);
            }
        }
        FleetConfiguration restricted = new FleetConfiguration(
                later.deployment(), later.zones(), later.hosts(), later.pools(), unchanged, later.teams());
        ConfigurationState configuration = after.configuration();
        return after.withConfiguration(
                new ConfigurationState(configuration.version(), configuration.units(), restricted));
    }
}
