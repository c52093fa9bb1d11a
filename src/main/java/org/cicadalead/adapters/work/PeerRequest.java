package org.cicadalead.adapters.work;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.cicadalead.model.work.JobAccess;

/**
 * A request of a process to the leader. Immutable.
 *
 * @param kind kind of the request
 * @param name name of the job or queue, or the sender's version of the configuration; empty for {@link Kind#STORE} and
 *     {@link Kind#WEIGHT}
 * @param records records to store, by key
 * @param access the jobs that the caller may learn of; absent in requests of versions without accounts
 * @param sender address of the sender, for {@link Kind#CONFIGURATION}
 */
record PeerRequest(
        Kind kind,
        String name,
        Map<String, Optional<byte[]>> records,
        Optional<JobAccess> access,
        Optional<String> sender) {
    PeerRequest {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(name, "name");
        records = Map.copyOf(records);
    }

    PeerRequest(Kind kind, String name, Map<String, Optional<byte[]>> records) {
        this(kind, name, records, Optional.empty(), Optional.empty());
    }

    enum Kind {
        /** Asks for the phase of a job. */
        PHASE,
        /** Asks for the number of waiting jobs in a queue. */
        WAITING,
        /** Asks to store records on behalf of the sender. */
        STORE,
        /** Asks for the newest configuration. */
        CONFIGURATION,
        /** Asks for the weight of all open jobs. */
        WEIGHT
    }
}
