package org.cicadalead.bench.outcomes;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import org.cicadalead.adapters.quickstart.ExampleDeployment;
import org.cicadalead.model.configuration.AvailabilityBudget;
import org.cicadalead.model.configuration.ConfigurationUnit;
import org.cicadalead.model.configuration.DeploymentDefinition;
import org.cicadalead.model.configuration.FailureCover;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.configuration.Measure;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.configuration.PoolDefinition;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.configuration.SourcePlace;
import org.cicadalead.model.configuration.TeamDefinition;
import org.cicadalead.model.configuration.ZoneDefinition;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.RackName;
import org.cicadalead.model.identity.RegionName;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.identity.TeamName;
import org.cicadalead.model.identity.ZoneName;

/** Creates the fleets of the outcomes bench: an example deployment, or a fleet of the target size. Stateless. */
public final class BenchFleet {
    private static final int HOSTS = 1_400;
    private static final int SPARE_HOSTS = 24;
    private static final int SERVICE_POOLS = 85;
    private static final int TEAMS = 610;
    private static final int ZONES = 5;
    private static final int ZONES_IN_FIRST_REGION = 3;
    private static final int HOSTS_PER_RACK = 4;
    private static final int MEMORY_GIGABYTES = 256;
    private static final int PROCESSORS = 64;
    private static final int FIRST_PORT = 1_024;
    private static final int MAX_UNAVAILABLE_HOSTS = 4;

    private BenchFleet() {}

    /** Returns the configuration files of an example deployment. */
    public static List<ConfigurationUnit> fromExample(String name) {
        return ExampleDeployment.load(name).units();
    }

    /**
     * Creates the configuration files of a fleet of the size that the users expect in two years. Its deployment puts
     * the given measure first.
     */
    public static List<ConfigurationUnit> ofTargetSize(Measure firstMeasure) {
        List<ZoneDefinition> zones = new ArrayList<>();
        for (int zone = 0; zone < ZONES; zone++) {
            String region = zone < ZONES_IN_FIRST_REGION ? "region-1" : "region-2";
            zones.add(new ZoneDefinition(new ZoneName("zone-" + zone), new RegionName(region), place("zones", zone)));
        }
        List<ConfigurationUnit> units = new ArrayList<>();
        units.add(unit(
                "00-deployment.toml",
                Optional.of(new DeploymentDefinition("target", firstMeasure, place("deployment", 1))),
                zones,
                List.of(),
                List.of(),
                List.of(),
                teams()));
        List<List<HostDefinition>> hostsByPool = assignHostsToPools();
        for (int pool = 0; pool < SERVICE_POOLS; pool++) {
            units.add(poolUnit(pool, hostsByPool.get(pool)));
        }
        units.add(spareUnit(hostsByPool.get(SERVICE_POOLS)));
        return units;
    }

    /**
     * Distributes the hosts over the pools so that neighbors in a rack belong to different pools. The last list is the
     * spare pool.
     */
    private static List<List<HostDefinition>> assignHostsToPools() {
        List<List<HostDefinition>> hostsByPool = new ArrayList<>();
        for (int pool = 0; pool <= SERVICE_POOLS; pool++) {
            hostsByPool.add(new ArrayList<>());
        }
        for (int number = 0; number < HOSTS; number++) {
            boolean isSpare = number % (HOSTS / SPARE_HOSTS) == 0
                    && hostsByPool.get(SERVICE_POOLS).size() < SPARE_HOSTS;
            hostsByPool.get(isSpare ? SERVICE_POOLS : number % SERVICE_POOLS).add(host(number));
        }
        return hostsByPool;
    }

    private static HostDefinition host(int number) {
        int rack = number / HOSTS_PER_RACK;
        return new HostDefinition(
                new HostName(String.format("host-%04d", number)),
                new ZoneName("zone-" + rack % ZONES),
                new RackName(String.format("rack-%03d", rack)),
                new NetworkAddress("127.0.0.1", FIRST_PORT + number),
                HostDefinition.DEFAULT_SLOTS,
                HostDefinition.DEFAULT_CONNECTIONS,
                PROCESSORS,
                MEMORY_GIGABYTES,
                0,
                place("hosts", number));
    }

    private static ConfigurationUnit poolUnit(int number, List<HostDefinition> hosts) {
        PoolName pool = new PoolName(String.format("pool-%02d", number));
        int promisedHosts = hosts.size();
        SortedSet<String> methods = new TreeSet<>(ServiceDefinition.STANDARD_IDEMPOTENT_METHODS);
        ServiceDefinition service = new ServiceDefinition(
                new ServiceName(String.format("service-%02d", number)),
                pool,
                new AvailabilityBudget(promisedHosts, MAX_UNAVAILABLE_HOSTS, FailureCover.RACK),
                ServiceDefinition.DEFAULT_TIMEOUT,
                ServiceDefinition.DEFAULT_QUEUE_LIMIT,
                methods,
                place("services", number));
        return unit(
                String.format("%02d-pool.toml", number + 1),
                Optional.empty(),
                List.of(),
                hosts,
                List.of(new PoolDefinition(pool, false, references(hosts), place("pools", number))),
                List.of(service),
                List.of());
    }

    private static ConfigurationUnit spareUnit(List<HostDefinition> hosts) {
        PoolDefinition pool = new PoolDefinition(new PoolName("standby"), true, references(hosts), place("spare", 1));
        return unit("99-spare.toml", Optional.empty(), List.of(), hosts, List.of(pool), List.of(), List.of());
    }

    private static List<PoolDefinition.HostReference> references(List<HostDefinition> hosts) {
        return hosts.stream()
                .map(host -> new PoolDefinition.HostReference(host.name(), host.place()))
                .toList();
    }

    private static List<TeamDefinition> teams() {
        List<TeamDefinition> teams = new ArrayList<>();
        for (int team = 0; team < TEAMS; team++) {
            teams.add(new TeamDefinition(
                    new TeamName(String.format("team-%03d", team)),
                    TeamDefinition.DEFAULT_SHARE,
                    TeamDefinition.DEFAULT_JOB_QUOTA,
                    place("teams", team)));
        }
        return teams;
    }

    private static ConfigurationUnit unit(
            String file,
            Optional<DeploymentDefinition> deployment,
            List<ZoneDefinition> zones,
            List<HostDefinition> hosts,
            List<PoolDefinition> pools,
            List<ServiceDefinition> services,
            List<TeamDefinition> teams) {
        return new ConfigurationUnit(file, "generated", deployment, zones, hosts, pools, services, teams);
    }

    private static SourcePlace place(String kind, int line) {
        return new SourcePlace("generated-" + kind, line, 1);
    }
}
