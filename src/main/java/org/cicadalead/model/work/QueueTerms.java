package org.cicadalead.model.work;

import java.util.Optional;

/**
 * What a queue promises its jobs; a job keeps the terms under which it was accepted. Immutable.
 *
 * @param priority 0 comes first
 * @param maximumAttempts failed runs of a task after which its job has failed
 * @param slackFactor factor on a job's longest chain of work in its latency objective
 * @param targetMilliseconds constant part of the latency objective
 * @param advisor the outside policy, where the queue has one
 */
public record QueueTerms(
        int priority,
        int maximumAttempts,
        double slackFactor,
        long targetMilliseconds,
        Optional<AdvisorTerms> advisor) {}
