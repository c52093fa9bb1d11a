package org.cicadalead.model.work;

import java.util.Optional;
import java.util.Set;

/**
 * Announcement of a term about a host that may have runs of the term or of an earlier one. Immutable.
 *
 * @param service the service that the host works for
 * @param answering whether the host replies, so that its lease is renewed
 * @param remainingLease milliseconds after which its lease has expired for certain, unless it is renewed
 * @param machine name of the machine that the host runs on; empty when it is not known
 * @param otherServices further services of whose jobs it may have runs, as it has changed its service; missing in
 *     records when there are none
 */
public record HostClaim(
        String service, boolean answering, long remainingLease, Optional<String> machine, Set<String> otherServices) {
    /** Copies the set. */
    public HostClaim {
        otherServices = otherServices == null ? Set.of() : Set.copyOf(otherServices);
    }

    /** Creates a claim on a host that has runs of jobs of its service only. */
    public HostClaim(String service, boolean answering, long remainingLease, Optional<String> machine) {
        this(service, answering, remainingLease, machine, Set.of());
    }
}
