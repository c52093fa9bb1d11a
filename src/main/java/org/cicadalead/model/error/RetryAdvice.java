package org.cicadalead.model.error;

/** What the caller of a failed request should do next. */
public enum RetryAdvice {
    /** The same request would fail again; it has to be changed first. */
    NEVER,
    /** Retry after the delay that the response states. */
    AFTER_DELAY,
    /** Find out the outcome by other means; retry only if the request is idempotent. */
    ONLY_IF_IDEMPOTENT
}
