package org.cicadalead.bench.outcomes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.cicadalead.model.configuration.FleetConfiguration;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.RackName;
import org.cicadalead.model.identity.ZoneName;

/**
 * The incidents of a scenario. They are generated from a seed before the scenario starts, so that every policy meets
 * the same ones. Immutable.
 *
 * @param lengthMilliseconds length of the scenario
 * @param incidents failures and actions of operators, ordered by time
 */
record Scenario(long lengthMilliseconds, List<Incident> incidents) {
    private static final long MINUTE_MILLISECONDS = 60_000;
    private static final long HOUR_MILLISECONDS = 60 * MINUTE_MILLISECONDS;

    Scenario {
        incidents = List.copyOf(incidents);
    }

    /** The kind of an incident. */
    enum Kind {
        /** One host fails. */
        HOST_FAILS,
        /** The platform announces that a host will leave. */
        HOST_LEAVES,
        /** All hosts of a rack fail. */
        RACK_FAILS,
        /** An availability zone fails, with its hosts and entry processes. */
        ZONE_FAILS,
        /** An availability zone is cut off from the platform and from the other zones. */
        ZONE_CUT,
        /** The platform log accepts no records. */
        LOG_DOWN,
        /** An operator starts a maintenance wave over the whole fleet that has to end as soon as possible. */
        WAVE,
        /** Two operators change the newest wave at the same time. */
        RACING_OPERATORS,
        /** An operator requests a move and a maintenance grant for a random host without checking its state. */
        CARELESS_COMMANDS
    }

    /**
     * One incident. Immutable.
     *
     * @param timeMilliseconds when it starts, in virtual milliseconds
     * @param kind the kind of the incident
     * @param subject the affected host, rack or availability zone; empty for none
     * @param durationMilliseconds how long it lasts, in milliseconds
     */
    record Incident(long timeMilliseconds, Kind kind, String subject, long durationMilliseconds) {}

    /** Generates a scenario. The number of host failures grows with the fleet; large fleets use shorter scenarios. */
    static Scenario generate(FleetConfiguration configuration, long seed, long lengthMilliseconds) {
        Random random = new Random(seed);
        List<HostDefinition> hosts = List.copyOf(configuration.hosts().values());
        List<RackName> racks =
                hosts.stream().map(HostDefinition::rack).distinct().sorted().toList();
        List<ZoneName> zones = List.copyOf(configuration.zones().keySet());
        List<Incident> incidents = new ArrayList<>();
        int failures = 6 + hosts.size() / 60;
        for (int count = 0; count < failures; count++) {
            incidents.add(new Incident(
                    randomBelow(random, lengthMilliseconds),
                    Kind.HOST_FAILS,
                    randomHost(random, hosts).value(),
                    30 * MINUTE_MILLISECONDS + randomBelow(random, 2 * HOUR_MILLISECONDS)));
        }
        for (int count = 0; count < 3; count++) {
            incidents.add(new Incident(
                    randomBelow(random, lengthMilliseconds),
                    Kind.HOST_LEAVES,
                    randomHost(random, hosts).value(),
                    HOUR_MILLISECONDS));
        }
        addIncidentsAtFixedTimes(incidents, random, racks, zones, lengthMilliseconds);
        for (long time = 5 * MINUTE_MILLISECONDS; time < lengthMilliseconds; time += 10 * MINUTE_MILLISECONDS) {
            incidents.add(new Incident(
                    time, Kind.CARELESS_COMMANDS, randomHost(random, hosts).value(), 0));
        }
        incidents.sort(Comparator.comparingLong(Incident::timeMilliseconds));
        return new Scenario(lengthMilliseconds, incidents);
    }

    private static void addIncidentsAtFixedTimes(
            List<Incident> incidents, Random random, List<RackName> racks, List<ZoneName> zones, long length) {
        long hourShare = length / 24;
        String rack = racks.get(random.nextInt(racks.size())).value();
        String failedZone = zones.get(random.nextInt(zones.size())).value();
        String cutOffZone = zones.get(random.nextInt(zones.size())).value();
        incidents.add(new Incident(2 * hourShare, Kind.WAVE, "", 0));
        incidents.add(
                new Incident(2 * hourShare + 7 * MINUTE_MILLISECONDS, Kind.RACK_FAILS, rack, 50 * MINUTE_MILLISECONDS));
        incidents.add(new Incident(9 * hourShare, Kind.ZONE_FAILS, failedZone, 30 * MINUTE_MILLISECONDS));
        incidents.add(new Incident(12 * hourShare, Kind.LOG_DOWN, "", 20 * MINUTE_MILLISECONDS));
        incidents.add(new Incident(14 * hourShare, Kind.WAVE, "", 0));
        incidents.add(new Incident(14 * hourShare + 3 * MINUTE_MILLISECONDS, Kind.RACING_OPERATORS, "", 0));
        incidents.add(new Incident(
                14 * hourShare + 9 * MINUTE_MILLISECONDS, Kind.ZONE_CUT, cutOffZone, 10 * MINUTE_MILLISECONDS));
        incidents.add(new Incident(20 * hourShare, Kind.WAVE, "", 0));
    }

    private static HostName randomHost(Random random, List<HostDefinition> hosts) {
        return hosts.get(random.nextInt(hosts.size())).name();
    }

    private static long randomBelow(Random random, long bound) {
        return (long) (random.nextDouble() * bound);
    }
}
