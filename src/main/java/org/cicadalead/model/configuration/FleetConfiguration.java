package org.cicadalead.model.configuration;

import java.util.Optional;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.identity.TeamName;
import org.cicadalead.model.identity.ZoneName;
import org.pcollections.TreePMap;

/**
 * The merged configuration: every definition is unique and every reference resolves. Immutable.
 *
 * @param deployment settings of the deployment; empty before the first publication
 * @param zones availability zones by name
 * @param hosts hosts by name
 * @param pools pools by name
 * @param services services by name
 * @param teams teams by name
 */
public record FleetConfiguration(
        Optional<DeploymentDefinition> deployment,
        TreePMap<ZoneName, ZoneDefinition> zones,
        TreePMap<HostName, HostDefinition> hosts,
        TreePMap<PoolName, PoolDefinition> pools,
        TreePMap<ServiceName, ServiceDefinition> services,
        TreePMap<TeamName, TeamDefinition> teams) {
    /** Returns the configuration before the first publication. */
    public static FleetConfiguration empty() {
        return new FleetConfiguration(
                Optional.empty(),
                TreePMap.empty(),
                TreePMap.empty(),
                TreePMap.empty(),
                TreePMap.empty(),
                TreePMap.empty());
    }
}
