package org.cicadalead.logic.request;

import org.cicadalead.model.error.Execution;
import org.cicadalead.model.request.AttemptOutcome;
import org.cicadalead.model.request.RequestPhase;

/**
 * State machine of one request. Invariant: a non-idempotent request enters {@link RequestPhase#SENT} again only when
 * every earlier attempt provably did not run. Immutable.
 *
 * @param phase current phase
 * @param idempotent whether it may be sent again after it may have run
 * @param attempts number of upstreams chosen so far
 * @param earlierExecution what is known about the effect of the finished attempts
 */
public record RequestProgress(RequestPhase phase, boolean idempotent, int attempts, Execution earlierExecution) {
    /** Returns the state after admission. */
    public static RequestProgress admitted(boolean idempotent) {
        return new RequestProgress(RequestPhase.ADMITTED, idempotent, 0, Execution.NOT_RUN);
    }

    /** Returns the state in the next phase; throws {@link IllegalStateException} when the transition is not allowed. */
    public RequestProgress enter(RequestPhase next) {
        boolean isUnsafeResend = next == RequestPhase.SENT && !idempotent && earlierExecution != Execution.NOT_RUN;
        boolean lacksAttemptOutcome = next == RequestPhase.QUEUED && phase != RequestPhase.ADMITTED;
        if (!phase.canTransitionTo(next) || isUnsafeResend || lacksAttemptOutcome) {
            throw new IllegalStateException("a request that is " + phase + " must not become " + next);
        }
        return new RequestProgress(
                next, idempotent, next == RequestPhase.CHOSEN ? attempts + 1 : attempts, earlierExecution);
    }

    /** Returns the state in which the request waits for another attempt after one ended with the given outcome. */
    public RequestProgress requeuedAfter(AttemptOutcome outcome) {
        if (phase != RequestPhase.CHOSEN && phase != RequestPhase.SENT) {
            throw new IllegalStateException("a request that is " + phase + " has no attempt that could end");
        }
        return new RequestProgress(RequestPhase.QUEUED, idempotent, attempts, executionAfter(outcome));
    }

    /** Returns what is known about the effect of all attempts when the current one ends with the given outcome. */
    public Execution executionAfter(AttemptOutcome outcome) {
        return outcome.execution() == Execution.NOT_RUN ? earlierExecution : outcome.execution();
    }
}
