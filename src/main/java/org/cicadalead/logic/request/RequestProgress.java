package org.cicadalead.logic.request;

import org.cicadalead.model.error.Execution;
import org.cicadalead.model.request.AttemptOutcome;
import org.cicadalead.model.request.RequestPhase;

/**
 * The state machine of one request. Invariant: a non-idempotent request enters {@link RequestPhase#SENT} again only
 * when every earlier attempt provably did not run. Immutable.
 *
 * @param phase where it is
 * @param idempotent whether it may be sent again after it may have run
 * @param attempts upstreams chosen so far
 * @param earlierExecution what is known about the effect of the attempts that are over
 */
public record RequestProgress(RequestPhase phase, boolean idempotent, int attempts, Execution earlierExecution) {
    /** Returns the state after admission. */
    public static RequestProgress admitted(boolean idempotent) {
        return new RequestProgress(RequestPhase.ADMITTED, idempotent, 0, Execution.NOT_RUN);
    }

    /** Enters a phase; throws {@link IllegalStateException} when the state machine has no such step. */
    public RequestProgress enter(RequestPhase next) {
        boolean sentAgain = next == RequestPhase.SENT && !idempotent && earlierExecution != Execution.NOT_RUN;
        boolean unaccounted = next == RequestPhase.QUEUED && phase != RequestPhase.ADMITTED;
        if (!phase.canTransitionTo(next) || sentAgain || unaccounted) {
            throw new IllegalStateException("a request that is " + phase + " must not become " + next);
        }
        return new RequestProgress(
                next, idempotent, next == RequestPhase.CHOSEN ? attempts + 1 : attempts, earlierExecution);
    }

    /** Accounts for the end of an attempt, and waits for another one. */
    public RequestProgress requeuedAfter(AttemptOutcome outcome) {
        if (phase != RequestPhase.CHOSEN && phase != RequestPhase.SENT) {
            throw new IllegalStateException("a request that is " + phase + " has no attempt that could end");
        }
        return new RequestProgress(RequestPhase.QUEUED, idempotent, attempts, executionAfter(outcome));
    }

    /** Returns what is known about the effect of all attempts when the present one ends so. */
    public Execution executionAfter(AttemptOutcome outcome) {
        return outcome.execution() == Execution.NOT_RUN ? earlierExecution : outcome.execution();
    }
}
