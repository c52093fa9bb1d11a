package org.cicadalead.bench.state;

/**
 * The size of a fleet. Immutable.
 *
 * @param hosts number of hosts
 * @param pools number of pools, each with a service
 * @param teams number of teams
 * @param members number of entry processes
 */
public record FleetSize(int hosts, int pools, int teams, int members) {
    /** The size that the users expect in two years. */
    public static final FleetSize TARGET = new FleetSize(1_400, 86, 610, 40);

    /** Returns this size with every number divided by a divisor. */
    public FleetSize dividedBy(int divisor) {
        return new FleetSize(hosts / divisor, pools / divisor, teams / divisor, members / divisor);
    }
}
