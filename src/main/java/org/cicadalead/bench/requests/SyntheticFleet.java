package org.cicadalead.bench.requests;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cicadalead.model.configuration.AvailabilityBudget;
import org.cicadalead.model.configuration.FailureCover;
import org.cicadalead.model.configuration.FleetConfiguration;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.configuration.PoolDefinition;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.configuration.SourcePlace;
import org.cicadalead.model.configuration.TeamDefinition;
import org.cicadalead.model.configuration.ZoneDefinition;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.Identifier;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.RackName;
import org.cicadalead.model.identity.RegionName;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.identity.TeamName;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.state.ConfigurationState;
import org.cicadalead.model.state.Member;
import org.cicadalead.model.state.SharedState;
import org.pcollections.TreePMap;

/**
 * Creates the shared states of synthetic fleets: hosts spread evenly over the pools and zones, one service for each
 * pool, teams and members. Immutable.
 *
 * @param zones number of availability zones
 * @param pools number of pools, each with one service
 * @param hosts number of hosts
 * @param teams number of teams
 * @param timeout timeout of the services
 * @param queueLimit queue limit of the services
 */
public record SyntheticFleet(int zones, int pools, int hosts, int teams, Duration timeout, int queueLimit) {
    private static final SourcePlace PLACE = new SourcePlace("synthetic", 0, 0);
    private static final int HOSTS_PER_RACK = 4;
    private static final int PROCESSORS = 64;
    private static final int MEMORY_GIGABYTES = 256;
    private static final int FIRST_PORT = 10_000;
    private static final int PEER_PORT = 9_000;
    private static final int MAX_SHARE = 4;

    /** Returns the name of the zone with a number. */
    public static ZoneName zone(int number) {
        return new ZoneName("zone-" + number);
    }

    /** Returns the name of the service with a number. */
    public static ServiceName service(int number) {
        return new ServiceName("service-" + number);
    }

    /** Returns the name of the pool with a number. */
    public static PoolName pool(int number) {
        return new PoolName("pool-" + number);
    }

    /** Returns the name of the host with a number. */
    public static HostName host(int number) {
        return new HostName("host-" + number);
    }

    /** Returns the name of the team with a number. */
    public static TeamName team(int number) {
        return new TeamName("team-" + number);
    }

    /** Creates the state with every host up at a synthetic address, and without members. */
    public SharedState state() {
        return state(List.of());
    }

    /** Creates the state with the first hosts at the given addresses and the other hosts at synthetic addresses. */
    public SharedState state(List<NetworkAddress> addresses) {
        TreePMap<HostName, HostDefinition> definitions = TreePMap.empty();
        TreePMap<HostName, HostState> states = TreePMap.empty();
        for (int number = 0; number < hosts; number++) {
            NetworkAddress address = number < addresses.size()
                    ? addresses.get(number)
                    : new NetworkAddress("127.0.0.1", FIRST_PORT + number);
            definitions = definitions.plus(host(number), definition(number, address));
            states = states.plus(host(number), HostState.declared(host(number), 1, pool(number % pools)));
        }
        FleetConfiguration merged = new FleetConfiguration(
                Optional.empty(), zoneDefinitions(), definitions, poolDefinitions(), services(), teamDefinitions());
        return SharedState.empty()
                .withOffset(1)
                .withConfiguration(new ConfigurationState(1, TreePMap.empty(), merged))
                .withHosts(states);
    }

    /** Returns a copy of a state with one more member. */
    public static SharedState withMember(SharedState state, ProcessIdentifier process, ZoneName zone) {
        long offset = state.offset() + 1;
        Member member = new Member(process, offset, zone, new NetworkAddress("127.0.0.1", PEER_PORT), Optional.empty());
        return state.withMembers(state.members().plus(process, member)).withOffset(offset);
    }

    /** Returns a copy of a state without a member. */
    public static SharedState withoutMember(SharedState state, ProcessIdentifier process) {
        return state.withMembers(state.members().minus(process)).withOffset(state.offset() + 1);
    }

    private HostDefinition definition(int number, NetworkAddress address) {
        return new HostDefinition(
                host(number),
                zone(number / pools % zones),
                new RackName("rack-" + number / HOSTS_PER_RACK),
                address,
                HostDefinition.DEFAULT_SLOTS,
                HostDefinition.DEFAULT_CONNECTIONS,
                PROCESSORS,
                MEMORY_GIGABYTES,
                0,
                PLACE);
    }

    private TreePMap<ZoneName, ZoneDefinition> zoneDefinitions() {
        return mapOf(zones, SyntheticFleet::zone, name -> new ZoneDefinition(name, new RegionName("region"), PLACE));
    }

    private TreePMap<PoolName, PoolDefinition> poolDefinitions() {
        return mapOf(pools, SyntheticFleet::pool, name -> new PoolDefinition(name, false, List.of(), PLACE));
    }

    private TreePMap<ServiceName, ServiceDefinition> services() {
        TreePMap<ServiceName, ServiceDefinition> services = TreePMap.empty();
        int hostsPerPool = Math.max(1, hosts / pools);
        AvailabilityBudget budget = new AvailabilityBudget(hostsPerPool, hostsPerPool / 2, FailureCover.NONE);
        for (int number = 0; number < pools; number++) {
            services = services.plus(
                    service(number),
                    new ServiceDefinition(
                            service(number),
                            pool(number),
                            budget,
                            timeout,
                            queueLimit,
                            new java.util.TreeSet<>(ServiceDefinition.STANDARD_IDEMPOTENT_METHODS),
                            PLACE));
        }
        return services;
    }

    private TreePMap<TeamName, TeamDefinition> teamDefinitions() {
        List<TeamName> names = new ArrayList<>();
        return mapOf(teams, SyntheticFleet::team, name -> {
            names.add(name);
            return new TeamDefinition(name, 1 + names.size() % MAX_SHARE, TeamDefinition.DEFAULT_JOB_QUOTA, PLACE);
        });
    }

    private static <N extends Identifier<N>, D> TreePMap<N, D> mapOf(
            int count, java.util.function.IntFunction<N> names, java.util.function.Function<N, D> definitions) {
        TreePMap<N, D> map = TreePMap.empty();
        for (int number = 0; number < count; number++) {
            N name = names.apply(number);
            map = map.plus(name, definitions.apply(name));
        }
        return map;
    }
}
