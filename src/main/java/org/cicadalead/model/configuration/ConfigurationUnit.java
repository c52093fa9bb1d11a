package org.cicadalead.model.configuration;

import java.util.List;
import java.util.Optional;

/**
 * The content of one file of the configuration folder, the unit of publication. Immutable.
 *
 * @param fileName the file's name, which also determines the order of merging
 * @param textDigest hexadecimal SHA-256 of the file's text
 * @param deployment settings of the deployment, if the file has any; the last file in the order takes precedence
 * @param zones availability zones
 * @param hosts hosts
 * @param pools pools
 * @param services services
 * @param teams teams
 */
public record ConfigurationUnit(
        String fileName,
        String textDigest,
        Optional<DeploymentDefinition> deployment,
        List<ZoneDefinition> zones,
        List<HostDefinition> hosts,
        List<PoolDefinition> pools,
        List<ServiceDefinition> services,
        List<TeamDefinition> teams) {
    /** Copies the lists. */
    public ConfigurationUnit {
        zones = List.copyOf(zones);
        hosts = List.copyOf(hosts);
        pools = List.copyOf(pools);
        services = List.copyOf(services);
        teams = List.copyOf(teams);
    }

    /** Returns a copy of this unit with other hosts. */
    public ConfigurationUnit withHosts(List<HostDefinition> newHosts) {
        return new ConfigurationUnit(fileName, textDigest, deployment, zones, newHosts, pools, services, teams);
    }
}
