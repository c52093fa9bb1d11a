package org.cicadalead.logic.request;

import org.cicadalead.model.error.Execution;
import org.cicadalead.model.request.AttemptOutcome;
import org.cicadalead.model.request.RequestTerms;

/** Decides whether a failed attempt is followed by another one. Stateless; safe for use by several threads. */
public final class RetryPolicy {
    /** Maximum number of attempts of one request, including the first. */
    public static final int MAX_ATTEMPTS = 3;

    private RetryPolicy() {}

    /**
     * Returns whether a request is retried on another upstream, and withdraws the retry from the budget. A request that
     * provably did not run may always be retried; one that may have run only if it is idempotent. The body must still
     * be resendable, and the budget must permit the retry, unless nothing was sent because the view of the host was out
     * of date.
     */
    public static boolean tryAcquireRetry(
            RequestTerms terms,
            RequestProgress progress,
            AttemptOutcome outcome,
            boolean bodyResendable,
            RetryBudget budget,
            long now) {
        if (progress.attempts() >= MAX_ATTEMPTS || terms.remainingNanoseconds(now) <= 0 || !bodyResendable) {
            return false;
        }
        boolean mayRunAgain = terms.idempotent() || progress.executionAfter(outcome) == Execution.NOT_RUN;
        boolean needsNoBudget = outcome == AttemptOutcome.VIEW_OUT_OF_DATE;
        return mayRunAgain && outcome.isRetryable() && (needsNoBudget || budget.tryWithdraw());
    }
}
