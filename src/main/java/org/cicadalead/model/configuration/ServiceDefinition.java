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
 * @param pool the pool it runs on
 * @param budget the availability that it is owed
 * @param timeout how long a request may take when it names no timeout
 * @param queueLimit requests that may wait for it in one entry process
 * @param idempotentMethods HTTP methods that may be sent again
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
    /** Methods that RFC 9110 defines as idempotent and callers use. */
    public static final Set<String> STANDARD_IDEMPOTENT_METHODS = Set.of("GET", "HEAD", "PUT", "DELETE", "OPTIONS");

    /** Timeout of a service whose file names none. */
    public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(30);

    /** Queue limit of a service whose file names none. */
    public static final int DEFAULT_QUEUE_LIMIT = 1_000;

    /** Copies the set; its order is fixed, so that equal definitions are encoded equally. */
    public ServiceDefinition {
        idempotentMethods = Collections.unmodifiableSortedSet(new TreeSet<>(idempotentMethods));
    }
}
