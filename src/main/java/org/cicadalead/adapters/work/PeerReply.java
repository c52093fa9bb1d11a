package org.cicadalead.adapters.work;

import java.util.Optional;
import org.cicadalead.model.work.WorkPhase;
import org.cicadalead.ports.RecordStore.AppendOutcome;

/**
 * An answer of the scheduling process. Immutable.
 *
 * @param known whether it could answer
 * @param phase how far the job is
 * @param count number of jobs
 * @param stored what became of the records
 */
record PeerReply(boolean known, Optional<WorkPhase> phase, int count, AppendOutcome stored) {
    static final PeerReply UNKNOWN = new PeerReply(false, Optional.empty(), 0, AppendOutcome.REFUSED);
}
