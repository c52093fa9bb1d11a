package org.cicadalead.adapters.work;

import java.util.Objects;
import java.util.Optional;
import org.cicadalead.model.work.WorkPhase;
import org.cicadalead.ports.RecordStore.AppendOutcome;

/**
 * The leader's reply to a {@link PeerRequest}. Immutable.
 *
 * @param known whether the leader could answer the request
 * @param phase phase of the job; empty if there is no such job
 * @param count number of waiting jobs
 * @param stored outcome of storing the records
 * @param configuration what the replying process knows of the configuration, if it was asked for
 * @param weightBytes weight of all open jobs in bytes, if it was asked for; absent in replies of earlier versions
 */
record PeerReply(
        boolean known,
        Optional<WorkPhase> phase,
        int count,
        AppendOutcome stored,
        Optional<ConfigurationReply> configuration,
        Optional<Long> weightBytes) {
    static final PeerReply UNKNOWN = new PeerReply(false, Optional.empty(), 0, AppendOutcome.REFUSED);

    PeerReply {
        Objects.requireNonNull(stored, "stored");
    }

    PeerReply(boolean known, Optional<WorkPhase> phase, int count, AppendOutcome stored) {
        this(known, phase, count, stored, Optional.empty(), Optional.empty());
    }

    PeerReply(
            boolean known,
            Optional<WorkPhase> phase,
            int count,
            AppendOutcome stored,
            Optional<ConfigurationReply> configuration) {
        this(known, phase, count, stored, configuration, Optional.empty());
    }
}
