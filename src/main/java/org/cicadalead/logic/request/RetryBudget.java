package org.cicadalead.logic.request;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds retries to a part of the requests of a service, so that a correlated failure is not amplified (the token
 * bucket of Finagle's retry budget, without decay). Safe for use by several threads.
 */
public final class RetryBudget {
    /** Retries that are allowed when nothing was deposited yet, and the most that is saved. */
    public static final int RESERVED_RETRIES = 20;

    private static final long TOKENS_PER_RETRY = 10;
    private static final long MAX_TOKENS = RESERVED_RETRIES * TOKENS_PER_RETRY;

    private final AtomicLong tokens = new AtomicLong(MAX_TOKENS);

    /** Notes a request; ten of them pay for one retry. */
    public void deposit() {
        tokens.getAndUpdate(held -> Math.min(MAX_TOKENS, held + 1));
    }

    /** Takes the price of one retry; false when the budget is used up. */
    public boolean tryWithdraw() {
        long before = tokens.getAndUpdate(held -> held >= TOKENS_PER_RETRY ? held - TOKENS_PER_RETRY : held);
        return before >= TOKENS_PER_RETRY;
    }
}
