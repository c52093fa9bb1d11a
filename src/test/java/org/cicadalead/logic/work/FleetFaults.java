package org.cicadalead.logic.work;

import java.util.Optional;
import java.util.Set;

/**
 * Faults of a simulated fleet: probabilities per second of the fleet, except of lost replies and late orders, which are
 * ratios per message. Immutable.
 *
 * @param lostReply ratio of messages whose reply is lost
 * @param lateOrder ratio of orders to start that a host carries out seconds later
 * @param crash a host crashes; it returns in a new life, under its identifier or another one
 * @param partition a host is cut off from the leader
 * @param takeover the leader resigns or is cut off from the store
 * @param storeOutage the store is down
 * @param failingHost the tasks of a host fail
 * @param slowHost the tasks of a host are slow
 * @param loss a host crashes and never returns
 * @param machineOrder the leader moves or maintains a machine; planned work, not a disruption
 * @param rackOutage all hosts of a rack crash or are cut off
 * @param zonePartition the availability zone of the leader is cut off, with its hosts
 * @param succession several leaders in quick succession resign, crash or are cut off
 * @param pause the process of the leader is suspended
 * @param combined faults that come together, about once a burst
 */
record FleetFaults(
        double lostReply,
        double lateOrder,
        double crash,
        double partition,
        double takeover,
        double storeOutage,
        double failingHost,
        double slowHost,
        double loss,
        double machineOrder,
        double rackOutage,
        double zonePartition,
        double succession,
        double pause,
        Optional<CombinedFault> combined) {
    static final FleetFaults NONE = new FleetFaults(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0);

    private static final Set<String> BURSTS =
            Set.of("planned", "losses", "successions", "machines", "racks", "zones", "pauses", "mixed");

    private FleetFaults(
            double lostReply,
            double lateOrder,
            double crash,
            double partition,
            double takeover,
            double storeOutage,
            double failingHost,
            double slowHost,
            double loss,
            double machineOrder,
            double rackOutage,
            double zonePartition,
            double succession,
            double pause) {
        this(
                lostReply,
                lateOrder,
                crash,
                partition,
                takeover,
                storeOutage,
                failingHost,
                slowHost,
                loss,
                machineOrder,
                rackOutage,
                zonePartition,
                succession,
                pause,
                Optional.empty());
    }

    /** Returns the faults of a kind that comes together, with a few moves and maintenances. */
    static FleetFaults of(CombinedFault fault) {
        return new FleetFaults(0, 0, 0, 0, 0, 0, 0, 0, 0, 0.1, 0, 0, 0, 0, Optional.of(fault));
    }

    /** Returns whether the faults of a kind act in bursts between calm periods, beside moves and maintenance. */
    static boolean isBurst(String kind) {
        return BURSTS.contains(kind);
    }

    /** Returns the faults of a kind. */
    static FleetFaults of(String kind) {
        return switch (kind) {
            case "takeovers" -> basic(0, 0, 0, 0.1, 0.2, 0, 0, 0);
            case "hosts" -> basic(0, 0, 0.2, 0.2, 0, 0, 0.1, 0.1);
            case "orders" -> basic(0.1, 0.1, 0, 0, 0, 0, 0, 0);
            case "store" -> basic(0, 0, 0.1, 0, 0.1, 0.3, 0, 0);
            case "all" -> basic(0.03, 0.02, 0.08, 0.08, 0.12, 0.08, 0.05, 0.05);
            case "losses" -> new FleetFaults(0, 0, 0, 0, 0.1, 0, 0, 0, 0.1, 0.3, 0, 0, 0.05, 0);
            case "planned" -> new FleetFaults(0, 0, 0, 0, 0, 0, 0, 0, 0, 0.8, 0, 0, 0, 0);
            case "successions" -> new FleetFaults(0, 0, 0, 0, 0, 0, 0, 0, 0, 0.4, 0, 0, 0.3, 0);
            case "machines" -> new FleetFaults(0, 0, 0.05, 0, 0.2, 0, 0, 0, 0, 0.8, 0, 0, 0, 0);
            case "racks" -> new FleetFaults(0, 0, 0, 0, 0.1, 0, 0, 0, 0, 0.2, 0.2, 0, 0.1, 0);
            case "zones" -> new FleetFaults(0, 0, 0, 0, 0, 0, 0, 0, 0, 0.3, 0, 0.3, 0.1, 0);
            case "pauses" -> new FleetFaults(0, 0, 0.05, 0.05, 0, 0.05, 0, 0, 0, 0.3, 0, 0, 0.15, 0.4);
            case "mixed" ->
                new FleetFaults(0.02, 0.02, 0.05, 0.05, 0.05, 0.05, 0.03, 0.03, 0, 0.4, 0.05, 0.1, 0.15, 0.1);
            default -> throw new IllegalArgumentException(kind);
        };
    }

    private static FleetFaults basic(
            double lostReply,
            double lateOrder,
            double crash,
            double partition,
            double takeover,
            double storeOutage,
            double failingHost,
            double slowHost) {
        return new FleetFaults(
                lostReply, lateOrder, crash, partition, takeover, storeOutage, failingHost, slowHost, 0, 0, 0, 0, 0, 0);
    }
}
