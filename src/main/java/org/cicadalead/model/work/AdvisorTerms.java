package org.cicadalead.model.work;

/**
 * Timing of an external policy service, which decides on which hosts a step may run. Immutable.
 *
 * @param decisionMilliseconds fixed time for each request
 * @param perItemMilliseconds additional time for each host in the request
 * @param validityMilliseconds time for which its tickets are valid
 */
public record AdvisorTerms(long decisionMilliseconds, long perItemMilliseconds, long validityMilliseconds) {}
