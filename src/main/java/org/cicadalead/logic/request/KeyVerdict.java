package org.cicadalead.logic.request;

/** Reply of the home process of an idempotency key about a request with that key. */
public enum KeyVerdict {
    /** The key is new; the requesting process runs the request. */
    GRANTED,
    /** The replying process has no entry for the key. */
    NOT_KNOWN,
    /** A request with the key is being run. */
    IN_PROGRESS,
    /** The request ran and its response is stored. */
    ANSWERED,
    /** The request ran and its response is not stored. */
    ANSWERED_WITHOUT_COPY,
    /** The request may have run. */
    OUTCOME_UNKNOWN,
    /** The key was used for a different request. */
    REUSED,
    /** The requesting and the replying process use different sets of members. */
    OTHER_MEMBERS,
    /** The maximum number of keys is already stored. */
    FULL
}
