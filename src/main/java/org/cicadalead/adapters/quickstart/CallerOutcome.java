package org.cicadalead.adapters.quickstart;

/** What a caller was told about its request. */
enum CallerOutcome {
    /** The whole answer to its own request came. */
    ANSWERED,
    /** An answer came that is not the whole answer to this request. */
    ANSWERED_WRONGLY,
    /** The request was refused as not run. */
    REFUSED,
    /** The outcome is unknown. */
    UNKNOWN,
    /** No answer came. */
    LOST
}
