package org.cicadalead.logic.request;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits retries to a fraction of the requests of a service, so that a correlated failure is not amplified (the token
 * bucket of Finagle's retry budget, without decay). Safe for use by several threads.
 */
public final class RetryBudget {
    /** Number of retries that are available before any deposit, and maximum number that is saved. */
    public static final int RESERVED_RETRIES = 20;

    private static final long TOKENS_PER_RETRY = 10;
    private static final long MAX_TOKENS = RESERVED_RETRIES * TOKENS_PER_RETRY;

    private final AtomicLong tokens = new AtomicLong(MAX_TOKENS);

    /** Adds the token of one request; ten requests pay for one retry. */
    public void deposit() {
        tokens.getAndUpdate(current -> Math.min(MAX_TOKENS, current + 1));
    }

    /** Takes the tokens of one retry; returns false when too few are left. */
    public boolean tryWithdraw() {
        long previous =
                tokens.getAndUpdate(current -> current >= TOKENS_PER_RETRY ? current - TOKENS_PER_RETRY : current);
        return previous >= TOKENS_PER_RETRY;
    }
}
