package org.cicadalead.logic.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import org.cicadalead.model.configuration.ConfigurationProblem;
import org.cicadalead.model.configuration.ConfigurationUnit;
import org.cicadalead.model.configuration.DeploymentDefinition;
import org.cicadalead.model.configuration.FleetConfiguration;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.configuration.PoolDefinition;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.configuration.SourcePlace;
import org.cicadalead.model.configuration.TeamDefinition;
import org.cicadalead.model.configuration.ZoneDefinition;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.Identifier;
import org.pcollections.TreePMap;

/**
 * Merges configuration units in the order of their file names and checks the result. Names must be unique across all
 * files, every reference must resolve, and a host must be in exactly one pool. The deployment's settings are the only
 * part that a later file replaces. Stateless; safe for use by several threads.
 */
public final class ConfigurationMerger {
    private ConfigurationMerger() {}

    /** Merges units in the order of the collection. */
    public static MergeResult merge(Collection<ConfigurationUnit> units) {
        return merge(units, name -> false);
    }

    /**
     * Merges units of which some definitions could not be read. A reference to such a definition is not reported,
     * because the error in the definition is.
     */
    public static MergeResult merge(Collection<ConfigurationUnit> units, Predicate<String> mayBeUnread) {
        List<ConfigurationProblem> problems = new ArrayList<>();
        Optional<DeploymentDefinition> deployment = Optional.empty();
        List<ZoneDefinition> zones = new ArrayList<>();
        List<HostDefinition> hosts = new ArrayList<>();
        List<PoolDefinition> pools = new ArrayList<>();
        List<ServiceDefinition> services = new ArrayList<>();
        List<TeamDefinition> teams = new ArrayList<>();
        for (ConfigurationUnit unit : units) {
            deployment = unit.deployment().or(supplierOf(deployment));
            zones.addAll(unit.zones());
            hosts.addAll(unit.hosts());
            pools.addAll(unit.pools());
            services.addAll(unit.services());
            teams.addAll(unit.teams());
        }
        FleetConfiguration merged = new FleetConfiguration(
                deployment,
                indexByName("availability zone", zones, ZoneDefinition::name, ZoneDefinition::place, problems),
                indexByName("host", hosts, HostDefinition::name, HostDefinition::place, problems),
                indexByName("pool", pools, PoolDefinition::name, PoolDefinition::place, problems),
                indexByName("service", services, ServiceDefinition::name, ServiceDefinition::place, problems),
                indexByName("team", teams, TeamDefinition::name, TeamDefinition::place, problems));
        new ReferenceChecker(merged, mayBeUnread, problems).check();
        return new MergeResult(merged, problems);
    }

    private static java.util.function.Supplier<Optional<DeploymentDefinition>> supplierOf(
            Optional<DeploymentDefinition> deployment) {
        return () -> deployment;
    }

    private static <K extends Identifier<K>, V> TreePMap<K, V> indexByName(
            String definitionKind,
            List<V> definitions,
            Function<V, K> nameOf,
            Function<V, SourcePlace> placeOf,
            List<ConfigurationProblem> problems) {
        TreePMap<K, V> definitionsByName = TreePMap.empty();
        for (V definition : definitions) {
            K name = nameOf.apply(definition);
            V earlierDefinition = definitionsByName.get(name);
            if (earlierDefinition == null) {
                definitionsByName = definitionsByName.plus(name, definition);
                continue;
            }
            problems.add(new ConfigurationProblem(
                    placeOf.apply(definition),
                    "the " + definitionKind + " '" + name + "' is already defined at "
                            + placeOf.apply(earlierDefinition),
                    "Choose another name, or remove one of the two definitions"));
        }
        return definitionsByName;
    }

    /**
     * The merged configuration with all problems found; the configuration may be used only when there are none.
     * Immutable.
     *
     * @param configuration the merged configuration
     * @param problems all problems, in the order of the files
     */
    public record MergeResult(FleetConfiguration configuration, List<ConfigurationProblem> problems) {
        /** Copies the list. */
        public MergeResult {
            problems = List.copyOf(problems);
        }

        /** Returns whether the configuration may be used. */
        public boolean isValid() {
            return problems.isEmpty();
        }
    }

    /** Returns the pool in which each host is declared, by host. */
    public static TreePMap<HostName, PoolDefinition> declaredPools(FleetConfiguration configuration) {
        TreePMap<HostName, PoolDefinition> poolsByHost = TreePMap.empty();
        for (PoolDefinition pool : configuration.pools().values()) {
            for (PoolDefinition.HostReference reference : pool.hosts()) {
                poolsByHost = poolsByHost.plus(reference.host(), pool);
            }
        }
        return poolsByHost;
    }
}
