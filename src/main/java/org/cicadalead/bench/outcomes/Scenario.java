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
 * The events of one day, drawn from a seed before the day starts, so that every policy meets the same ones. Immutable.
 *
 * @param lengthMilliseconds length of the day
 * @param incidents failures and operators' acts, in the order of time
 */
record Scenario(long lengthMilliseconds, List<Incident> incidents) {
    private static final long MINUTE_MILLISECONDS = 60_000;
    private static final long HOUR_MILLISECONDS = 60 * MINUTE_MILLISECONDS;

    Scenario {
        incidents = List.copyOf(incidents);
    }

    /** What happens. */
    enum Kind {
        /** One host fails. */
        HOST_FAILS,
        /** The platform announces that a host leaves. */
        HOST_LEAVES,
        /** A rack fails. */
        RACK_FAILS,
        /** An availability zone fails, with its processes. */
        ZONE_FAILS,
        /** An availability zone is cut off from platform and zones. */
        ZONE_CUT,
        /** The platform log is down. */
        LOG_DOWN,
        /** An operator starts a wave over the whole fleet that is to end as soon as it can. */
        WAVE,
        /** Two operators change the newest wave at the same moment. */
        RACING_OPERATORS,
        /** Someone asks for a move and a grant of any host, without looking. */
        CARELESS_COMMANDS
    }

    /**
     * One event. Immutable.
     *
     * @param timeMilliseconds when
     * @param kind what
     * @param subject host, rack or availability zone; empty for none
     * @param durationMilliseconds how long it lasts, in milliseconds
     */
    record Incident(long timeMilliseconds, Kind kind, String subject, long durationMilliseconds) {}

    /** Draws a day; on a large fleet failures follow its size and the day is shorter. */
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
        long part = length / 24;
        String rack = racks.get(random.nextInt(racks.size())).value();
        String lost = zones.get(random.nextInt(zones.size())).value();
        String cut = zones.get(random.nextInt(zones.size())).value();
        incidents.add(new Incident(2 * part, Kind.WAVE, "", 0));
        incidents.add(
                new Incident(2 * part + 7 * MINUTE_MILLISECONDS, Kind.RACK_FAILS, rack, 50 * MINUTE_MILLISECONDS));
        incidents.add(new Incident(9 * part, Kind.ZONE_FAILS, lost, 30 * MINUTE_MILLISECONDS));
        incidents.add(new Incident(12 * part, Kind.LOG_DOWN, "", 20 * MINUTE_MILLISECONDS));
        incidents.add(new Incident(14 * part, Kind.WAVE, "", 0));
        incidents.add(new Incident(14 * part + 3 * MINUTE_MILLISECONDS, Kind.RACING_OPERATORS, "", 0));
        incidents.add(new Incident(14 * part + 9 * MINUTE_MILLISECONDS, Kind.ZONE_CUT, cut, 10 * MINUTE_MILLISECONDS));
        incidents.add(new Incident(20 * part, Kind.WAVE, "", 0));
    }

    private static HostName randomHost(Random random, List<HostDefinition> hosts) {
        return hosts.get(random.nextInt(hosts.size())).name();
    }

    private static long randomBelow(Random random, long bound) {
        return (long) (random.nextDouble() * bound);
    }
}
