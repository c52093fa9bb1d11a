package org.cicadalead.adapters.work;

import java.util.Map;
import java.util.Optional;

/**
 * A question of one process to the scheduling one. Immutable.
 *
 * @param kind what is asked
 * @param name the job or the queue that is meant
 * @param records records to store, by key
 */
record PeerRequest(Kind kind, String name, Map<String, Optional<byte[]>> records) {
    PeerRequest {
        records = Map.copyOf(records);
    }

    enum Kind {
        /** How far is a job? */
        PHASE,
        /** How many jobs of a queue wait? */
        WAITING,
        /** Store records for me. */
        STORE
    }
}
