package org.cicadalead.adapters.quickstart;

/** The outcome of a request as its caller observed it. */
enum CallerOutcome {
    /** The caller received the complete response to its own request. */
    ANSWERED,
    /** The caller received a response that is not the complete response to this request. */
    ANSWERED_WRONGLY,
    /** The request was refused, and the response states that it was not run. */
    REFUSED,
    /** The response states that the outcome is unknown. */
    UNKNOWN,
    /** The caller received no response. */
    LOST
}
