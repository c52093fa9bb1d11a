package org.cicadalead.model.work;

/**
 * A queue of jobs as the operator configured it. Immutable.
 *
 * @param name name of the queue
 * @param authority host name of its requests
 * @param pathPrefix what the path of its requests begins with
 * @param service the service whose hosts run its tasks
 * @param timeoutMilliseconds longest time for an answer
 * @param terms what it promises
 */
public record WorkQueue(
        String name, String authority, String pathPrefix, String service, long timeoutMilliseconds, QueueTerms terms) {}
