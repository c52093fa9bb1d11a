package org.cicadalead.model.error;

/** What the caller of a failed request should do next. */
public enum RetryAdvice {
    /** The same request fails again; change it first. */
    NEVER,
    /** Waiting helps; the answer names the delay. */
    AFTER_DELAY,
    /** Ask for the outcome by other means, or resend only if the request is idempotent. */
    ONLY_IF_IDEMPOTENT
}
