package org.cicadalead.model.work;

import java.util.Optional;

/**
 * Service terms of a queue. A job keeps the terms under which it was accepted. Immutable.
 *
 * @param priority priority of the queue's jobs; 0 is the highest
 * @param maximumAttempts number of failed runs of a task after which its job fails
 * @param slackFactor factor of the duration of a job's longest chain of steps in its latency objective
 * @param targetMilliseconds constant part of the latency objective in milliseconds
 * @param advisor terms of the external policy, empty when the queue has none
 */
public record QueueTerms(
        int priority,
        int maximumAttempts,
        double slackFactor,
        long targetMilliseconds,
        Optional<AdvisorTerms> advisor) {}
