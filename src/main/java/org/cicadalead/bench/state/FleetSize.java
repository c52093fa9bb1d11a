package org.cicadalead.bench.state;

/**
 * The size of a fleet. Immutable.
 *
 * @param hosts hosts
 * @param pools pools, each with a service
 * @param teams teams
 * @param members entry processes
 */
public record FleetSize(int hosts, int pools, int teams, int members) {
    /** The two-year target. */
    public static final FleetSize TARGET = new FleetSize(1_400, 86, 610, 40);

    /** Returns a fraction of the size. */
    public FleetSize dividedBy(int divisor) {
        return new FleetSize(hosts / divisor, pools / divisor, teams / divisor, members / divisor);
    }
}
