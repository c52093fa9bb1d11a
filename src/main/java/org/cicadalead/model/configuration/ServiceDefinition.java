package org.cicadalead.model.configuration;

import java.time.Duration;
import java.util.Collections;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.ServiceName;

/**
 * A service that runs on the hosts of a pool. Immutable.
 *
 * @param name the service's name
 * @param pool the pool on whose hosts it runs
 * @param budget the availability promised to it
 * @param timeout timeout of a request that specifies none
 * @param queueLimit maximum number of its requests that wait in one entry process
 * @param idempotentMethods HTTP methods whose requests may be retried
 * @param place where it is defined
 */
public record ServiceDefinition(
        ServiceName name,
        PoolName pool,
        AvailabilityBudget budget,
        Duration timeout,
        int queueLimit,
        SortedSet<String> idempotentMethods,
        SourcePlace place) {
    /** Methods that RFC 9110 defines as idempotent and that callers use. */
    public static final Set<String> STANDARD_IDEMPOTENT_METHODS = Set.of("GET", "HEAD", "PUT", "DELETE", "OPTIONS");

    /** Timeout of a service whose definition has none. */
    public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(30);

    /** Queue limit of a service whose definition has none. */
    public static final int DEFAULT_QUEUE_LIMIT = 1_000;

    /** Copies the set in sorted order, so that equal definitions have equal encodings. */
    public ServiceDefinition {
        idempotentMethods = Collections.unmodifiableSortedSet(new TreeSet<>(idempotentMethods));
    }
}
