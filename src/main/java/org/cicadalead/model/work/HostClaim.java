package org.cicadalead.model.work;

import java.util.Optional;

/**
 * Announcement of a term about a host that may have runs of the term or of an earlier one. Immutable.
 *
 * @param service the service that the host works for
 * @param answering whether the host replies, so that its lease is renewed
 * @param remainingLease milliseconds after which its lease has expired for certain, unless it is renewed
 * @param machine name of the machine that the host runs on; empty when it is not known
 */
public record HostClaim(String service, boolean answering, long remainingLease, Optional<String> machine) {}
