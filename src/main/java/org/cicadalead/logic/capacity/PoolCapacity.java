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
 * The hosts of one pool, counted. A host that is leaving, down, under maintenance or withdrawn by a move is a member
 * and not available; one that is moving in belongs to its old pool until it is assigned. Immutable.
 *
 * @param pool the pool
 * @param services the services that run on it; each is owed its budget on the same hosts
 * @param members hosts that belong to it
 * @param incoming healthy hosts that are moving in
 * @param returning healthy members under maintenance that are expected back
 * @param availableByRack available hosts by rack; racks without one are left out
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

    /** Returns the largest number of hosts that any service on the pool was promised; 0 without services. */
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

    /** Returns the number of available hosts that the largest covered failure would take. */
    public int hostsLostToFailure(FailureCover cover) {
        return switch (cover) {
            case NONE -> 0;
            case HOST -> Math.min(1, availableOnFullestRack());
            case RACK -> availableOnFullestRack();
        };
    }

    /**
     * Returns how many hosts the tightest service could lose after the largest covered failure; negative when a budget
     * would break, and {@link Integer#MAX_VALUE} without services.
     */
    public int slack() {
        int available = available();
        return services.stream()
                .map(ServiceDefinition::budget)
                .mapToInt(budget -> available - hostsLostToFailure(budget.cover()) - budget.minimumAvailable())
                .min()
                .orElse(Integer.MAX_VALUE);
    }

    /** Returns why planned work may not leave the pool as it is; empty when every budget holds. */
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

    /** Returns this pool with one more available host. */
    public PoolCapacity plusAvailable(RackName rack) {
        int count = availableByRack.getOrDefault(rack, 0);
        return new PoolCapacity(pool, services, members, incoming, returning, availableByRack.plus(rack, count + 1));
    }

    /** Returns this pool with one available host less. */
    public PoolCapacity minusAvailable(RackName rack) {
        int count = availableByRack.getOrDefault(rack, 0);
        PMap<RackName, Integer> rest = count <= 1 ? availableByRack.minus(rack) : availableByRack.plus(rack, count - 1);
        return new PoolCapacity(pool, services, members, incoming, returning, rest);
    }

    /** Returns this pool with other counts of hosts that come. */
    public PoolCapacity withHostCounts(int newMembers, int newIncoming, int newReturning) {
        return new PoolCapacity(pool, services, newMembers, newIncoming, newReturning, availableByRack);
    }
}
