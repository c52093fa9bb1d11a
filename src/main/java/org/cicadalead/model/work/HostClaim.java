package org.cicadalead.model.work;

/**
 * Announcement of a term about a host that may have runs of the term. Immutable.
 *
 * @param service the service that the host works for
 * @param answering whether the host replies, so that its lease is renewed
 * @param remainingLease milliseconds after which its lease has expired for certain, unless it is renewed
 */
public record HostClaim(String service, boolean answering, long remainingLease) {}
