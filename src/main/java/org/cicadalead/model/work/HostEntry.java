package org.cicadalead.model.work;

import java.util.List;
import java.util.Optional;

/**
 * Registry entry of a host, written by the host. Immutable. The capacity is from 0 to {@link #MAX_CAPACITY} in each
 * dimension, so that sums over all hosts stay in range.
 *
 * @param identifier identifier of this incarnation of the host; it changes with a restart
 * @param service the service that it works for
 * @param address address at which it accepts orders
 * @param zone its availability zone
 * @param draining whether it accepts no new work because it is about to leave
 * @param bornMilliseconds wall clock time in milliseconds when its process started
 * @param clockMilliseconds its monotonic clock in milliseconds when it wrote the entry
 * @param capacity its total capacity
 * @param labels labels of the host, the last of which is its rack
 */
public record HostEntry(
        String identifier,
        String service,
        String address,
        String zone,
        boolean draining,
        long bornMilliseconds,
        long clockMilliseconds,
        HostCapacity capacity,
        List<String> labels) {
    /** Maximum capacity in each dimension: more than any machine has, in thousandths of a core or in megabytes. */
    public static final long MAX_CAPACITY = 1L << 40;

    /** Copies the list; throws {@link IllegalArgumentException} for a value out of its range. */
    public HostEntry {
        if (identifier.isEmpty() || service.isEmpty()) {
            throw new IllegalArgumentException("a host without an identifier or a service");
        }
        if (!HostCapacity.NONE.isAtMost(capacity)
                || !capacity.isAtMost(new HostCapacity(MAX_CAPACITY, MAX_CAPACITY, MAX_CAPACITY))) {
            throw new IllegalArgumentException("a capacity out of range");
        }
        labels = List.copyOf(labels);
    }

    /** Returns the rack, which is the last label. */
    public Optional<String> rack() {
        return labels.isEmpty() ? Optional.empty() : Optional.of(labels.get(labels.size() - 1));
    }
}
