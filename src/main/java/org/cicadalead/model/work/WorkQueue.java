package org.cicadalead.model.work;

/**
 * A queue of jobs as the operator configured it. Immutable.
 *
 * @param name name of the queue
 * @param authority host name of its requests
 * @param pathPrefix prefix of the paths of its requests
 * @param service the service whose hosts run its tasks
 * @param timeoutMilliseconds maximum time for a response
 * @param isPublic whether its requests need no key of an account
 * @param terms service terms for its jobs
 */
public record WorkQueue(
        String name,
        String authority,
        String pathPrefix,
        String service,
        long timeoutMilliseconds,
        boolean isPublic,
        QueueTerms terms) {}
