package org.cicadalead.model.work;

/**
 * What a term says of a host that may run something for it. Immutable.
 *
 * @param service the service that the host works for
 * @param answering whether the host answers, so that its lease is renewed
 * @param remainingLease milliseconds after which its lease has expired for certain, unless it is renewed
 */
public record HostClaim(String service, boolean answering, long remainingLease) {}
