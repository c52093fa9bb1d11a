package org.cicadalead.bench.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cicadalead.model.command.ConfigurationCommand.Publish;
import org.cicadalead.model.command.ConfigurationCommand.UnitChange;
import org.cicadalead.model.configuration.ConfigurationUnit;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.configuration.PoolDefinition;
import org.cicadalead.model.configuration.PoolDefinition.HostReference;
import org.cicadalead.model.configuration.SourcePlace;
import org.cicadalead.model.configuration.TeamDefinition;
import org.cicadalead.model.configuration.ZoneDefinition;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.RackName;
import org.cicadalead.model.identity.RegionName;
import org.cicadalead.model.identity.TeamName;
import org.cicadalead.model.identity.ZoneName;

/** Creates the configuration of a fleet of the two-year target size. Stateless. */
final class JobBenchFleet {
    static final int HOSTS = 1_400;
    static final int POOLS = 86;
    static final int TEAMS = 610;
    static final int PROCESSORS = 32;
    static final int MEMORY_GIGABYTES = 64;

    private static final int ZONES = 5;
    private static final int HOSTS_PER_RACK = 4;
    private static final int JOB_QUOTA = 100;
    private static final int MAX_SHARE = 3;
    private static final int FIRST_PORT = 21_000;
    private static final String FILE = "bench.toml";
    private static final SourcePlace PLACE = new SourcePlace(FILE, 0, 0);

    private JobBenchFleet() {}

    static HostName host(int number) {
        return new HostName("host-" + number);
    }

    static PoolName pool(int number) {
        return new PoolName("pool-" + number);
    }

    static TeamName team(int number) {
        return new TeamName("team-" + number);
    }

    static Publish createPublication() {
        ConfigurationUnit unit =
                new ConfigurationUnit(FILE, "", Optional.empty(), zones(), hosts(), pools(), List.of(), teams());
        return new Publish(List.of(new UnitChange(FILE, 0, Optional.of(unit))));
    }

    private static List<ZoneDefinition> zones() {
        List<ZoneDefinition> zones = new ArrayList<>();
        for (int number = 0; number < ZONES; number++) {
            zones.add(new ZoneDefinition(zone(number), new RegionName("region-" + number % 2), PLACE));
        }
        return zones;
    }

    private static ZoneName zone(int number) {
        return new ZoneName("zone-" + number);
    }

    private static List<HostDefinition> hosts() {
        List<HostDefinition> hosts = new ArrayList<>();
        for (int number = 0; number < HOSTS; number++) {
            hosts.add(new HostDefinition(
                    host(number),
                    zone(number % ZONES),
                    new RackName("rack-" + number % ZONES + "-" + number / ZONES / HOSTS_PER_RACK),
                    new NetworkAddress("127.0.0.1", FIRST_PORT + number),
                    HostDefinition.DEFAULT_SLOTS,
                    HostDefinition.DEFAULT_CONNECTIONS,
                    PROCESSORS,
                    MEMORY_GIGABYTES,
                    0,
                    PLACE));
        }
        return hosts;
    }

    private static List<PoolDefinition> pools() {
        List<PoolDefinition> pools = new ArrayList<>();
        for (int pool = 0; pool < POOLS; pool++) {
            List<HostReference> members = new ArrayList<>();
            for (int number = pool; number < HOSTS; number += POOLS) {
                members.add(new HostReference(host(number), PLACE));
            }
            pools.add(new PoolDefinition(pool(pool), false, members, PLACE));
        }
        return pools;
    }

    private static List<TeamDefinition> teams() {
        List<TeamDefinition> teams = new ArrayList<>();
        for (int number = 0; number < TEAMS; number++) {
            teams.add(new TeamDefinition(team(number), 1 + number % MAX_SHARE, JOB_QUOTA, PLACE));
        }
        return teams;
    }
}
