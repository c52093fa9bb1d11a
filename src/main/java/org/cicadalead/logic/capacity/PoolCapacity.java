package org.cicadalead.logic.capacity;

import java.util.List;
import java.util.Optional;
import org.cicadalead.model.configuration.AvailabilityBudget;
import org.cicadalead.model.configuration.FailureCover;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.RackName;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Host counts of one pool. A host that is leaving, down, under maintenance or withdrawn for a move is a member but not
 * available. A host that is moving in is a member of its old pool until it is assigned. Immutable.
 *
 * @param pool the pool
 * @param services the services that run on the pool; each budget applies to the same hosts
 * @param members number of hosts that belong to the pool
 * @param incoming number of healthy hosts that are moving in
 * @param returning number of healthy members under maintenance that are expected to return
 * @param availableByRack number of available hosts by rack; racks without any are left out
 */
public record PoolCapacity(
        PoolName pool,
        List<ServiceDefinition> services,
        int members,
        int incoming,
        int returning,
        PMap<RackName, Integer> availableByRack) {
    /** Copies the list. */
    public PoolCapacity {
        services = List.copyOf(services);
    }

    /** Returns a pool without hosts. */
    public static PoolCapacity empty(PoolName pool, List<ServiceDefinition> services) {
        return new PoolCapacity(pool, services, 0, 0, 0, HashTreePMap.empty());
    }

    /** Returns the number of hosts that can take new work. */
    public int available() {
        return availableByRack.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns the largest number of hosts promised to any service on the pool; 0 without services. */
    public int promised() {
        return services.stream()
                .mapToInt(service -> service.budget().promisedHosts())
                .max()
                .orElse(0);
    }

    /** Returns the number of available hosts on the fullest rack. */
    public int availableOnFullestRack() {
        return availableByRack.values().stream()
                .mapToInt(Integer::intValue)
                .max()
                .orElse(0);
    }

    /** Returns the number of available hosts that would be lost to the largest failure of a cover. */
    public int hostsLostToFailure(FailureCover cover) {
        return switch (cover) {
            case NONE -> 0;
            case HOST -> Math.min(1, availableOnFullestRack());
            case RACK -> availableOnFullestRack();
        };
    }

    /**
     * Returns how many more hosts the pool could lose after the largest covered failure until the first budget breaks;
     * negative if a budget would already break, and {@link Integer#MAX_VALUE} without services.
     */
    public int slack() {
        int available = available();
        return services.stream()
                .map(ServiceDefinition::budget)
                .mapToInt(budget -> available - hostsLostToFailure(budget.cover()) - budget.minimumAvailable())
                .min()
                .orElse(Integer.MAX_VALUE);
    }

    /**
     * Returns which budget would break after the largest failure that it covers; empty if every budget would be met.
     * Planned work must not leave the pool in violation.
     */
    public Optional<String> findBudgetViolation() {
        int available = available();
        for (ServiceDefinition service : services) {
            AvailabilityBudget budget = service.budget();
            int reserve = hostsLostToFailure(budget.cover());
            if (available - reserve < budget.minimumAvailable()) {
                return Optional.of("The service '" + service.name() + "' would have " + available
                        + " hosts available in the pool '" + pool + "' and must keep " + budget.minimumAvailable()
                        + " after the largest failure that its budget covers ("
                        + budget.cover().label() + ": " + reserve
                        + " hosts)");
            }
        }
        return Optional.empty();
    }

    /** Returns a copy with one more available host on a rack. */
    public PoolCapacity plusAvailable(RackName rack) {
        int count = availableByRack.getOrDefault(rack, 0);
        return new PoolCapacity(pool, services, members, incoming, returning, availableByRack.plus(rack, count + 1));
    }

    /** Returns a copy with one available host fewer on a rack. */
    public PoolCapacity minusAvailable(RackName rack) {
        int count = availableByRack.getOrDefault(rack, 0);
        PMap<RackName, Integer> remainingByRack =
                count <= 1 ? availableByRack.minus(rack) : availableByRack.plus(rack, count - 1);
        return new PoolCapacity(pool, services, members, incoming, returning, remainingByRack);
    }

    /** Returns a copy with other counts of members and of incoming and returning hosts. */
    public PoolCapacity withHostCounts(int newMembers, int newIncoming, int newReturning) {
        return new PoolCapacity(pool, services, newMembers, newIncoming, newReturning, availableByRack);
    }
}
