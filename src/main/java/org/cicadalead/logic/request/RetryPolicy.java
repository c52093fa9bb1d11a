package org.cicadalead.logic.request;

import org.cicadalead.model.error.Execution;
import org.cicadalead.model.request.AttemptOutcome;
import org.cicadalead.model.request.RequestTerms;

/** Decides whether a failed attempt is followed by another one. Stateless; safe for use by several threads. */
public final class RetryPolicy {
    /** Attempts of one request, the first included. */
    public static final int MAX_ATTEMPTS = 3;

    private RetryPolicy() {}

    /**
     * Tells whether a request is tried again on another upstream. What provably did not run may always be tried again;
     * what may have run only when it is idempotent. The body must still be at hand, and the budget must have room,
     * unless nothing was even tried.
     */
    public static boolean tryAcquireRetry(
            RequestTerms terms,
            RequestProgress progress,
            AttemptOutcome outcome,
            boolean bodyAtHand,
            RetryBudget budget,
            long now) {
        if (progress.attempts() >= MAX_ATTEMPTS || terms.remainingNanoseconds(now) <= 0 || !bodyAtHand) {
            return false;
        }
        boolean mayRunAgain = terms.idempotent() || progress.executionAfter(outcome) == Execution.NOT_RUN;
        boolean isFree = outcome == AttemptOutcome.VIEW_OUT_OF_DATE;
        return mayRunAgain && outcome.isRetryable() && (isFree || budget.tryWithdraw());
    }
}
