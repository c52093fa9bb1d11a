package org.cicadalead.model.work;

import java.util.List;
import java.util.Optional;

/**
 * A host as it registered itself. Immutable.
 *
 * @param identifier identifier of this life of the host
 * @param service the service that it works for
 * @param address where it takes orders
 * @param zone its availability zone
 * @param draining whether it is about to leave
 * @param bornMilliseconds wall clock time when its process started
 * @param clockMilliseconds its monotonic clock when it wrote the entry
 * @param capacity its room
 * @param labels its kind and rack
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
    /** Copies the list. */
    public HostEntry {
        labels = List.copyOf(labels);
    }

    /** Returns the rack, which is the last label. */
    public Optional<String> rack() {
        return labels.isEmpty() ? Optional.empty() : Optional.of(labels.get(labels.size() - 1));
    }
}
