package org.cicadalead.logic.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.cicadalead.model.error.Execution;
import org.cicadalead.model.request.AttemptOutcome;
import org.cicadalead.model.request.RequestPhase;
import org.junit.jupiter.api.Test;

class RequestProgressTest {
    @Test
    void neverResendsNonIdempotentRequestThatMayHaveRun() {
        RequestProgress requeued =
                sent(false).requeuedAfter(AttemptOutcome.CONNECTION_LOST).enter(RequestPhase.CHOSEN);
        assertThrows(IllegalStateException.class, () -> requeued.enter(RequestPhase.SENT));
    }

    @Test
    void resendsNonIdempotentRequestThatDidNotRun() {
        RequestProgress requeued =
                sent(false).requeuedAfter(AttemptOutcome.NOT_CONNECTED).enter(RequestPhase.CHOSEN);
        assertEquals(RequestPhase.SENT, requeued.enter(RequestPhase.SENT).phase());
    }

    @Test
    void attemptThatDidNotRunKeepsEarlierUnknownOutcome() {
        RequestProgress second = sent(true)
                .requeuedAfter(AttemptOutcome.CONNECTION_LOST)
                .enter(RequestPhase.CHOSEN)
                .enter(RequestPhase.SENT);
        assertEquals(Execution.UNKNOWN, second.executionAfter(AttemptOutcome.NOT_CONNECTED));
    }

    @Test
    void rejectsQueueingSentRequestWithoutAttemptOutcome() {
        assertThrows(IllegalStateException.class, () -> sent(false).enter(RequestPhase.QUEUED));
    }

    @Test
    void answeredRequestIsFinal() {
        RequestProgress answered = sent(true).enter(RequestPhase.ANSWERED);
        assertThrows(IllegalStateException.class, () -> answered.enter(RequestPhase.CHOSEN));
    }

    private static RequestProgress sent(boolean idempotent) {
        return RequestProgress.admitted(idempotent)
                .enter(RequestPhase.QUEUED)
                .enter(RequestPhase.CHOSEN)
                .enter(RequestPhase.SENT);
    }
}
