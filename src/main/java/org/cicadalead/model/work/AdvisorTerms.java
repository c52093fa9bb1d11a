package org.cicadalead.model.work;

/**
 * How long an outside policy service takes to say which hosts may run a step. Immutable.
 *
 * @param decisionMilliseconds time for any question
 * @param perItemMilliseconds time more for each host named
 * @param validityMilliseconds how long its tickets are valid
 */
public record AdvisorTerms(long decisionMilliseconds, long perItemMilliseconds, long validityMilliseconds) {}
